#ifndef GOOSEBERRYCOVE_LOG_LOG_THREAD_HPP
#define GOOSEBERRYCOVE_LOG_LOG_THREAD_HPP

#include <gooseberrycove/log.hpp>

#include <functional>
#include <thread>

namespace gooseberrycove::log
{

/// `time=... level=... E0501 server_ejected key=value ...`, with a line break.
std::string format_line(log_record const& line);

/// Writes lines until the ring is closed and empty. It waits at most
/// \p patience for a reader that takes nothing once the ring is closed; what
/// is left then is dropped. A descriptor that cannot be written ends nothing:
/// lines are dropped and counted.
void run(log_ring& lines, log_counts& counts, int descriptor,
         std::chrono::milliseconds patience);

/// Starts a thread that blocks all signals. Without it a signal of the process
/// could take its default action there before the process has blocked it.
std::thread start_without_signals(std::function<void()> body);

/// Runs the log of this process on standard output while it exists.
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
