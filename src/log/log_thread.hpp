#ifndef GOOSEBERRYCOVE_LOG_LOG_THREAD_HPP
#define GOOSEBERRYCOVE_LOG_LOG_THREAD_HPP

#include <gooseberrycove/log.hpp>

#include <functional>
#include <thread>

namespace gooseberrycove::log
{

/// Formats a record as `time=... level=... E0501 server_ejected key=value ...`,
/// with a line break.
std::string format_line(log_record const& line);

/// Writes lines until the ring is closed and empty. Once the ring is closed, it
/// waits up to \p exit_timeout for a reader that does not read; the remaining
/// lines are dropped. When \p descriptor cannot be written, lines are dropped
/// and counted, and the function keeps running.
void run(log_ring& lines, log_counts& counts, int descriptor,
         std::chrono::milliseconds exit_timeout);

/// Starts a thread that blocks all signals. Otherwise a signal to the process
/// could take its default action on this thread before the process has blocked
/// the signal.
std::thread start_without_signals(std::function<void()> function);

/// Writes the log of this process to standard output during its lifetime.
class process_writer
{
public:
    process_writer();
    ~process_writer();

    process_writer(process_writer const&) = delete;
    process_writer& operator=(process_writer const&) = delete;

private:
    std::thread m_thread;
};

} // namespace gooseberrycove::log

#endif
