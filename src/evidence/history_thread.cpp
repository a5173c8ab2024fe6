#include "evidence/history.hpp"
#include <gooseberrycove/duty.hpp>
#include <gooseberrycove/settings.hpp>

#include <fmt/format.h>

#include <atomic>
#include <fstream>
#include <ostream>
#include <thread>

namespace gooseberrycove::evidence
{

void write_history(history_inbox& records, std::ostream& out)
{
    run_duty(
        records,
        [&](record const& entry, time_point) { out << to_json(entry) << '\n'; },
        [&](time_point now)
        {
            out.flush();
            return now + std::chrono::hours(1);
        });
}

struct history_log::impl
{
    std::ofstream file;
    history_inbox records{history_capacity};
    std::atomic<std::int64_t> lost_count = 0;
    std::thread writer;
};

history_log::history_log(std::string_view path)
{
    if (path.empty())
        return;
    m_impl = std::make_unique<impl>();
    m_impl->file.open(std::string(path), std::ios::app);
    if (!m_impl->file)
        throw settings_error(
            fmt::format("history: {} cannot be written", path));
    m_impl->writer =
        std::thread([this] { write_history(m_impl->records, m_impl->file); });
}

history_log::~history_log()
{
    if (!m_impl)
        return;
    m_impl->records.close();
    m_impl->writer.join();
    if (m_impl->lost_count > 0)
    {
        record lost_record;
        lost_record.event = "lost";
        lost_record.status = m_impl->lost_count;
        m_impl->file << to_json(lost_record) << '\n';
    }
}

void history_log::add(record&& entry)
{
    if (m_impl && !m_impl->records.try_push(std::move(entry)))
        ++m_impl->lost_count;
}

} // namespace gooseberrycove::evidence
