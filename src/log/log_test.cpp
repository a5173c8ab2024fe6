#include "log/line_limit.hpp"
#include "log/log_thread.hpp"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <sstream>

using namespace gooseberrycove;
using namespace std::chrono_literals;

namespace
{

log_record make_record(event_line const& line)
{
    return {std::chrono::system_clock::time_point(1765000000s + 250us),
            severity::info, line.id(), line.is_routine(), line.text()};
}

log_record make_routed_record(int number)
{
    return make_record(
        event_line(event::request_routed).field("request", number).routine());
}

/// A log thread that writes to a pipe.
struct piped_log
{
    std::array<int, 2> pipe{};
    log_ring lines{log_ring_capacity};
    log_counts counts;
    std::thread writer;

    explicit piped_log(bool has_reader = true)
    {
        REQUIRE(::pipe(pipe.data()) == 0);
        if (!has_reader)
            ::close(pipe[0]);
        writer =
            std::thread([this] { log::run(lines, counts, pipe[1], 50ms); });
    }

    ~piped_log() { close_and_join(); }

    void close_and_join()
    {
        lines.close();
        if (writer.joinable())
            writer.join();
    }

    std::string text()
    {
        close_and_join();
        ::close(pipe[1]);
        std::string all;
        std::array<char, 4096> buffer{};
        for (ssize_t size = 0;
             (size = ::read(pipe[0], buffer.data(), buffer.size())) > 0;)
            all.append(buffer.data(), static_cast<std::size_t>(size));
        return all;
    }
};

std::size_t count_occurrences(std::string const& text, std::string_view pattern)
{
    std::size_t found = 0;
    for (std::size_t position = text.find(pattern); position != text.npos;
         position = text.find(pattern, position + 1))
        ++found;
    return found;
}

} // namespace

TEST_CASE("a log line contains its time, level, event and fields")
{
    CHECK(log::format_line(make_routed_record(7)) ==
          "time=2025-12-06T05:46:40.000250Z level=info "
          "E0200 request_routed request=7\n");
}

TEST_CASE("lines about failures are kept when routine lines are left out")
{
    // Guards against an overload whose log has no lines about the requests that
    // failed.
    log::line_limit limit;
    log::begin_second(limit, 1);
    std::uint32_t routine = 0;
    for (int i = 0; i < 1000; ++i)
        routine +=
            log::admit_line(limit, event::request_answered, true) ? 1 : 0;
    CHECK(routine == log::max_routine_lines);
    CHECK(log::admit_line(limit, event::request_answered, false));
    CHECK(log::admit_line(limit, event::work_started, true));
    CHECK(log::begin_second(limit, 1).empty());
    auto const left_out = log::begin_second(limit, 2);
    REQUIRE(left_out.size() == 1);
    CHECK(left_out[0].event_id == event::request_answered);
    CHECK(left_out[0].count == 1000 - log::max_routine_lines);
    CHECK(log::admit_line(limit, event::request_answered, true));
}

TEST_CASE("lines are written in order and the number left out is logged")
{
    piped_log log;
    for (int i = 0; i < 300; ++i)
        CHECK(log.lines.try_push(make_routed_record(i)));
    log_record later = make_routed_record(1000);
    later.at += 1s;
    CHECK(log.lines.try_push(std::move(later)));
    std::string const text = log.text();
    CHECK(count_occurrences(text, "request_routed request=") ==
          log::max_routine_lines + 1);
    CHECK(count_occurrences(
              text, "E0107 log_lines_left_out event=\"E0200 request_routed\" "
                    "count=100") == 1);
    CHECK(text.find("request=0\n") < text.find("request=199\n"));
    CHECK(log.counts.written == log::max_routine_lines + 1);
    CHECK(log.counts.left_out == 100);
}

TEST_CASE("logging does not block when the reader stops reading")
{
    // Guards against a daemon that stops serving because the pipe of its log is
    // full.
    piped_log log;
    std::string const long_text(2000, 'x');
    std::size_t refused_count = 0;
    auto const begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 10000; ++i)
    {
        log_record line =
            make_record(event_line(event::server_alarm).field("x", long_text));
        refused_count += log.lines.try_push(std::move(line)) ? 0 : 1;
    }
    CHECK(refused_count > 0);
    log.close_and_join();
    CHECK(std::chrono::steady_clock::now() - begin < 5s);
    CHECK(log.counts.dropped + log.counts.written + log.counts.left_out +
              refused_count ==
          10000);
}

TEST_CASE("lines are dropped and counted after the reader closed the pipe")
{
    std::signal(SIGPIPE, SIG_IGN);
    piped_log log(false);
    for (int i = 0; i < 10; ++i)
        CHECK(log.lines.try_push(make_routed_record(i)));
    log.close_and_join();
    CHECK(log.counts.written == 0);
    CHECK(log.counts.dropped == 10);
}

TEST_CASE("the log thread blocks the signals of the process")
{
    // Guards against a daemon that is ended by a signal that should start a
    // drain: the log thread starts before the process blocks its signals.
    sigset_t old_mask;
    pthread_sigmask(SIG_SETMASK, nullptr, &old_mask);
    sigset_t thread_mask;
    sigemptyset(&thread_mask);
    log::start_without_signals(
        [&thread_mask] { pthread_sigmask(SIG_SETMASK, nullptr, &thread_mask); })
        .join();
    for (int const number : {SIGTERM, SIGINT, SIGHUP})
        CHECK(sigismember(&thread_mask, number) == 1);
    sigset_t new_mask;
    pthread_sigmask(SIG_SETMASK, nullptr, &new_mask);
    CHECK(sigismember(&new_mask, SIGTERM) == sigismember(&old_mask, SIGTERM));
}
