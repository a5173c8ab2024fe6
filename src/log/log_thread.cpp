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

/// Time between writes. Lines are written in batches to save system calls.
constexpr std::chrono::milliseconds batch_interval{50};

/// Maximum size of a write to a pipe that does not block when poll() reports
/// room.
constexpr std::size_t max_write_bytes = 4096;

/// Value of run()'s exit_timeout for the log of the process.
constexpr std::chrono::milliseconds process_exit_timeout{500};

/// Timeout for a wait on an empty ring; nothing is done when it expires.
constexpr std::chrono::hours idle_wait{1};

/// Timeout of one poll for room in the output. Between polls wait_for_room()
/// checks whether the ring is closed.
constexpr int room_poll_ms = 100;

struct output
{
    log_ring& lines;
    log_counts& counts;
    int descriptor = -1;
    std::chrono::milliseconds exit_timeout;
    line_limit limit;
    std::uint64_t reported_dropped = 0;
    bool has_failed = false;
    /// When the wait for a reader ends; set once the ring is closed.
    std::optional<time_point> exit_deadline;
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

/// Formats a line of the log thread itself, with the time of \p next.
std::string format_notice(log_record const& next, event_line const& line)
{
    return format_line(
        {next.at, severity::warning, line.id(), false, line.text()});
}

/// Appends notices about lines left out or dropped before \p next.
void append_missing_notices(output& out, log_record const& next,
                            std::string& text)
{
    auto const second = std::chrono::duration_cast<std::chrono::seconds>(
        next.at.time_since_epoch());
    for (left_out_lines const& left_out :
         begin_second(out.limit, second.count()))
        text += format_notice(next,
                              event_line(event::log_lines_left_out)
                                  .field("event", event_tag(left_out.event_id))
                                  .field("count", left_out.count));
    std::uint64_t const dropped = out.counts.dropped.load();
    if (dropped > out.reported_dropped)
        text += format_notice(
            next, event_line(event::log_lines_dropped)
                      .field("count", dropped - out.reported_dropped));
    out.reported_dropped = dropped;
}

void report_write_error(output& out, int error_number)
{
    out.has_failed = true;
    // Standard error is the only other output.
    LOG(ERROR) << "the log cannot be written: "
               << std::generic_category().message(error_number);
}

/// Waits until the output has room. Returns false when poll() fails or the exit
/// deadline has passed.
bool wait_for_room(output& out)
{
    while (true)
    {
        pollfd descriptor_poll{out.descriptor, POLLOUT, 0};
        int const ready = ::poll(&descriptor_poll, 1, room_poll_ms);
        if (ready > 0)
            return true;
        if (ready < 0 && errno != EINTR)
            return false;
        if (out.exit_deadline && clock_now() >= *out.exit_deadline)
            return false;
        if (!out.exit_deadline && out.lines.is_closed())
            out.exit_deadline = clock_now() + out.exit_timeout;
    }
}

/// Returns whether all of \p text was written.
bool write_text(output& out, std::string_view text)
{
    while (!text.empty() && !out.has_failed)
    {
        if (!wait_for_room(out))
            return false;
        ssize_t const written = ::write(out.descriptor, text.data(),
                                        std::min(text.size(), max_write_bytes));
        if (written >= 0)
            text.remove_prefix(static_cast<std::size_t>(written));
        else if (errno != EINTR && errno != EAGAIN)
            report_write_error(out, errno);
    }
    return text.empty();
}

void write_batch(output& out, std::vector<log_record> const& batch)
{
    std::string text;
    std::uint64_t line_count = 0;
    for (log_record const& line : batch)
    {
        append_missing_notices(out, line, text);
        if (!admit_line(out.limit, line.event_id, line.is_routine))
        {
            ++out.counts.left_out;
            continue;
        }
        text += format_line(line);
        ++line_count;
    }
    if (write_text(out, text))
        out.counts.written += line_count;
    else
        out.counts.dropped += line_count;
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
         std::chrono::milliseconds exit_timeout)
{
    output out{lines, counts, descriptor, exit_timeout, {}, 0, false, {}};
    std::vector<log_record> batch;
    while (lines.pop_until(batch, clock_now() + idle_wait))
    {
        write_batch(out, batch);
        batch.clear();
        if (!lines.is_closed())
            std::this_thread::sleep_for(batch_interval);
    }
}

std::thread start_without_signals(std::function<void()> function)
{
    sigset_t all_signals;
    sigset_t old_mask;
    sigfillset(&all_signals);
    pthread_sigmask(SIG_SETMASK, &all_signals, &old_mask);
    // The new thread inherits the signal mask.
    std::thread thread(std::move(function));
    pthread_sigmask(SIG_SETMASK, &old_mask, nullptr);
    return thread;
}

process_writer::process_writer()
    : m_thread(start_without_signals(
          []
          {
              run(process_log(), process_log_counts(), STDOUT_FILENO,
                  process_exit_timeout);
          }))
{
}

process_writer::~process_writer()
{
    process_log().close();
    m_thread.join();
}

} // namespace gooseberrycove::log
