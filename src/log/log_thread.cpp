#include "log/log_thread.hpp"

#include "log/line_limit.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <glog/logging.h>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <optional>
#include <string_view>

namespace gooseberrycove::log
{

namespace
{

/// Lines of this time go out together, because each write has a price.
constexpr std::chrono::milliseconds batch_time{50};

/// Largest write to a pipe that never blocks when poll() has found room.
constexpr std::size_t write_bytes = 4096;

constexpr std::chrono::milliseconds exit_patience{500};

/// Bounds the wait of an idle log; it has nothing to do then.
constexpr std::chrono::hours idle_wait{1};

/// Wait for room in one step; the ring's state is looked at in between.
constexpr int poll_ms = 100;

struct output
{
    log_ring& lines;
    log_counts& counts;
    int descriptor = -1;
    std::chrono::milliseconds patience;
    line_limit limit;
    std::uint64_t told_dropped = 0;
    bool failed = false;
    /// End of the wait for a reader, once the ring is closed.
    std::optional<time_point> give_up;
};

std::string_view to_string(severity level)
{
    switch (level)
    {
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        break;
    }
    return "error";
}

std::string own_line(log_record const& after, event_line const& line)
{
    return format_line(
        {after.at, severity::warning, line.id(), false, line.text()});
}

/// Tells lines that are missing before \p next.
void append_missing(output& to, log_record const& next, std::string& text)
{
    auto const second = std::chrono::duration_cast<std::chrono::seconds>(
        next.at.time_since_epoch());
    for (left_out const& missing : begin_second(to.limit, second.count()))
        text += own_line(next, event_line(event::log_lines_left_out)
                                   .field("event", event_tag(missing.what))
                                   .field("count", missing.count));
    std::uint64_t const dropped = to.counts.dropped.load();
    if (dropped > to.told_dropped)
        text += own_line(next, event_line(event::log_lines_dropped)
                                   .field("count", dropped - to.told_dropped));
    to.told_dropped = dropped;
}

void fail(output& to, int error)
{
    to.failed = true;
    // Standard error is the only place left.
    LOG(ERROR) << "the log cannot be written: "
               << std::generic_category().message(error);
}

/// Waits for room. Returns false when there is none before the end.
bool wait_for_room(output& to)
{
    while (true)
    {
        pollfd wanted{to.descriptor, POLLOUT, 0};
        int const ready = ::poll(&wanted, 1, poll_ms);
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return false;
        if (to.give_up && clock_now() >= *to.give_up)
            return false;
        if (!to.give_up && to.lines.is_closed())
            to.give_up = clock_now() + to.patience;
    }
}

/// Returns whether all of \p text was written.
bool write_text(output& to, std::string_view text)
{
    while (!text.empty() && !to.failed)
    {
        if (!wait_for_room(to))
            return false;
        ssize_t const written = ::write(to.descriptor, text.data(),
                                        std::min(text.size(), write_bytes));
        if (written >= 0)
            text.remove_prefix(static_cast<std::size_t>(written));
        else if (errno != EINTR && errno != EAGAIN)
            fail(to, errno);
    }
    return text.empty();
}

void write_batch(output& to, std::vector<log_record> const& batch)
{
    std::string text;
    std::uint64_t lines = 0;
    for (log_record const& line : batch)
    {
        append_missing(to, line, text);
        if (!admit(to.limit, line.event_id, line.is_routine))
        {
            ++to.counts.left_out;
            continue;
        }
        text += format_line(line);
        ++lines;
    }
    if (write_text(to, text))
        to.counts.written += lines;
    else
        to.counts.dropped += lines;
}

} // namespace

std::string format_line(log_record const& line)
{
    auto const microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(
            line.at.time_since_epoch());
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(microseconds);
    return fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:06}Z level={} {}\n",
                       fmt::gmtime(static_cast<std::time_t>(seconds.count())),
                       (microseconds - seconds).count(), to_string(line.level),
                       line.text);
}

void run(log_ring& lines, log_counts& counts, int descriptor,
         std::chrono::milliseconds patience)
{
    output to{lines, counts, descriptor, patience, {}, 0, false, {}};
    std::vector<log_record> batch;
    while (lines.pop_until(batch, clock_now() + idle_wait))
    {
        write_batch(to, batch);
        batch.clear();
        if (!lines.is_closed())
            std::this_thread::sleep_for(batch_time);
    }
}

std::thread start_without_signals(std::function<void()> body)
{
    sigset_t all;
    sigset_t before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    // The new thread inherits the mask.
    std::thread made(std::move(body));
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
    return made;
}

process_writer::process_writer()
    : m_thread(start_without_signals(
          [] {
              run(process_log(), process_log_counts(), STDOUT_FILENO,
                  exit_patience);
          }))
{
}

process_writer::~process_writer()
{
    process_log().close();
    m_thread.join();
}

} // namespace gooseberrycove::log
