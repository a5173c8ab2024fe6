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
        [&](record const& what, time_point) { out << to_json(what) << '\n'; },
        [&](time_point now)
        {
            out.flush();
            return now + std::chrono::hours(1);
        });
}

struct history_log::parts
{
    std::ofstream file;
    history_inbox records{history_capacity};
    std::atomic<std::int64_t> lost = 0;
    std::thread writer;
};

history_log::history_log(std::string_view path)
{
    if (path.empty())
        return;
    m_parts = std::make_unique<parts>();
    m_parts->file.open(std::string(path), std::ios::app);
    if (!m_parts->file)
        throw settings_error(
            fmt::format("history: {} cannot be written", path));
    m_parts->writer =
        std::thread([this] { write_history(m_parts->records, m_parts->file); });
}

history_log::~history_log()
{
    if (!m_parts)
        return;
    m_parts->records.close();
    m_parts->writer.join();
    if (m_parts->lost > 0)
    {
        record lost;
        lost.event = "lost";
        lost.status = m_parts->lost;
        m_parts->file << to_json(lost) << '\n';
    }
}

void history_log::add(record&& what)
{
    if (m_parts && !m_parts->records.try_push(std::move(what)))
        ++m_parts->lost;
}

} // namespace gooseberrycove::evidence
