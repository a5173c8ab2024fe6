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

log_record made_line(event_line const& line)
{
    return {std::chrono::system_clock::time_point(1765000000s + 250us),
            severity::info, line.id(), line.is_routine(), line.text()};
}

log_record routed(int number)
{
    return made_line(
        event_line(event::request_routed).field("request", number).routine());
}

/// A pipe, and a log that writes to it.
struct piped_log
{
    std::array<int, 2> pipe{};
    log_ring lines{log_ring_capacity};
    log_counts counts;
    std::thread writer;

    explicit piped_log(bool reading = true)
    {
        REQUIRE(::pipe(pipe.data()) == 0);
        if (!reading)
            ::close(pipe[0]);
        writer =
            std::thread([this] { log::run(lines, counts, pipe[1], 50ms); });
    }

    ~piped_log() { end(); }

    void end()
    {
        lines.close();
        if (writer.joinable())
            writer.join();
    }

    std::string text()
    {
        end();
        ::close(pipe[1]);
        std::string all;
        std::array<char, 4096> part{};
        for (ssize_t size = 0;
             (size = ::read(pipe[0], part.data(), part.size())) > 0;)
            all.append(part.data(), static_cast<std::size_t>(size));
        return all;
    }
};

std::size_t count(std::string const& text, std::string_view what)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(what); at != text.npos;
         at = text.find(what, at + 1))
        ++found;
    return found;
}

} // namespace

TEST_CASE("a line has its time, level, event and fields")
{
    CHECK(log::format_line(routed(7)) ==
          "time=2025-12-06T05:46:40.000250Z level=info "
          "E0200 request_routed request=7\n");
}

TEST_CASE("lines of failures are kept when those of progress are left out")
{
    // Guards against a flood whose log has no line of the requests that failed
    // in it.
    log::line_limit limit;
    log::begin_second(limit, 1);
    std::uint32_t routine = 0;
    for (int i = 0; i < 1000; ++i)
        routine += log::admit(limit, event::request_answered, true) ? 1 : 0;
    CHECK(routine == log::most_routine_lines);
    CHECK(log::admit(limit, event::request_answered, false));
    CHECK(log::admit(limit, event::work_started, true));
    CHECK(log::begin_second(limit, 1).empty());
    auto const missing = log::begin_second(limit, 2);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].what == event::request_answered);
    CHECK(missing[0].count == 1000 - log::most_routine_lines);
    CHECK(log::admit(limit, event::request_answered, true));
}

TEST_CASE("lines are written in order and what was left out is told")
{
    piped_log log;
    for (int i = 0; i < 300; ++i)
        CHECK(log.lines.try_push(routed(i)));
    log_record later = routed(1000);
    later.at += 1s;
    CHECK(log.lines.try_push(std::move(later)));
    std::string const text = log.text();
    CHECK(count(text, "request_routed request=") ==
          log::most_routine_lines + 1);
    CHECK(count(text, "E0107 log_lines_left_out event=\"E0200 request_routed\" "
                      "count=100") == 1);
    CHECK(text.find("request=0\n") < text.find("request=199\n"));
    CHECK(log.counts.written == log::most_routine_lines + 1);
    CHECK(log.counts.left_out == 100);
}

TEST_CASE("a reader that stops reading holds nobody up")
{
    // Guards against a daemon that stops serving because its log's pipe is
    // full.
    piped_log log;
    std::string const long_text(2000, 'x');
    std::size_t refused = 0;
    auto const begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 10000; ++i)
    {
        log_record line =
            made_line(event_line(event::server_alarm).field("x", long_text));
        refused += log.lines.try_push(std::move(line)) ? 0 : 1;
    }
    CHECK(refused > 0);
    log.end();
    CHECK(std::chrono::steady_clock::now() - begin < 5s);
    CHECK(log.counts.dropped + log.counts.written + log.counts.left_out +
              refused ==
          10000);
}

TEST_CASE("an output that cannot be written costs its lines and nothing else")
{
    std::signal(SIGPIPE, SIG_IGN);
    piped_log log(false);
    for (int i = 0; i < 10; ++i)
        CHECK(log.lines.try_push(routed(i)));
    log.end();
    CHECK(log.counts.written == 0);
    CHECK(log.counts.dropped == 10);
}

TEST_CASE("the log's thread takes no signals of the process")
{
    // Guards against a daemon that is ended by a signal meant for its drain.
    // The thread starts before the process blocks its signals.
    sigset_t before;
    pthread_sigmask(SIG_SETMASK, nullptr, &before);
    sigset_t inside;
    sigemptyset(&inside);
    log::start_without_signals(
        [&inside] { pthread_sigmask(SIG_SETMASK, nullptr, &inside); })
        .join();
    for (int const number : {SIGTERM, SIGINT, SIGHUP})
        CHECK(sigismember(&inside, number) == 1);
    sigset_t after;
    pthread_sigmask(SIG_SETMASK, nullptr, &after);
    CHECK(sigismember(&after, SIGTERM) == sigismember(&before, SIGTERM));
}
