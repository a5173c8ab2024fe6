#include <gooseberrycove/error.hpp>
#include <gooseberrycove/event.hpp>
#include <gooseberrycove/ring.hpp>
#include <gooseberrycove/settings.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace gooseberrycove;

TEST_CASE("error table is indexed by kind")
{
    int index = 0;
    for (error_response const& row : all_error_responses())
        CHECK(static_cast<int>(row.kind) == index++);
}

TEST_CASE("request ids are parsed as formatted and other text is rejected")
{
    request_id const id{0x0123456789abcdef, 0xfedcba9876543210};
    CHECK(parse_request_id(to_string(id)) == id);
    CHECK_FALSE(parse_request_id("xyz"));
    CHECK_FALSE(parse_request_id(to_string(id) + "0"));
}

TEST_CASE("a full ring refuses new requests but accepts responses")
{
    ring<int> queue(4);
    CHECK(queue.try_push(1, 2));
    CHECK(queue.try_push(2, 2));
    CHECK_FALSE(queue.try_push(3, 2));
    CHECK(queue.try_push(3));
    CHECK(queue.try_push(4));
    CHECK_FALSE(queue.try_push(5));
    std::vector<int> out;
    queue.pop_all(out);
    CHECK(out == std::vector<int>{1, 2, 3, 4});
}

TEST_CASE("a closed ring delivers its queued messages, then reports the end")
{
    ring<int> queue(4);
    CHECK(queue.try_push(1));
    queue.close();
    CHECK_FALSE(queue.try_push(2));
    std::vector<int> out;
    CHECK(queue.pop_until(out, clock_now()));
    CHECK(out.size() == 1);
    CHECK_FALSE(queue.pop_until(out, clock_now() + std::chrono::hours(1)));
}

TEST_CASE("a push from another thread wakes the reader")
{
    ring<int> queue(4);
    std::thread writer([&] { queue.try_push(7); });
    std::vector<int> out;
    queue.pop_until(out, clock_now() + std::chrono::hours(1));
    writer.join();
    CHECK(out == std::vector<int>{7});
}

TEST_CASE("a line break in a log field does not start a forged log line")
{
    event_line line(event::request_refused);
    line.field("path", "/a b\nE0501 \"x\"").field("n", 3);
    CHECK(line.text() ==
          "E0201 request_refused path=\"/a b E0501 \\\"x\\\"\" n=3");
}

namespace
{

std::vector<setting> const schema{
    {"daemon", "listen", setting_type::address, "", true, 0, 0, "", false},
    {"daemon", "size", setting_type::number, "5", false, 1, 10, "", false},
    {"daemon", "seeds", setting_type::addresses, "", false, 0, 0, "", false}};

std::string error_message_for(std::string_view content)
{
    try
    {
        settings_builder(schema).file("a.ini", content).build();
    }
    catch (settings_error const& failure)
    {
        return failure.what();
    }
    return {};
}

} // namespace

TEST_CASE("settings errors name the file, line, key and allowed values")
{
    CHECK(error_message_for("[daemon]\nlisten = 127.0.0.1:80\n").empty());
    CHECK(error_message_for("[daemon]\n") ==
          "a.ini: daemon.listen: required, missing\n");
    CHECK(error_message_for("[daemon]\nlisten = localhost:80\n") ==
          "a.ini:2: daemon.listen: 'localhost:80' is not allowed, allowed: "
          "ip:port\n");
    CHECK(error_message_for("[daemon]\nlisten = 127.0.0.1:80\nsize = 11\n") ==
          "a.ini:3: daemon.size: '11' is not allowed, allowed: an integer "
          "from 1 to 10\n");
    CHECK(error_message_for("[daemon]\nlisten = 127.0.0.1:80\nspeed = 1\n") ==
          "a.ini:3: daemon.speed: unknown key, allowed: listen size seeds\n");
}

TEST_CASE("a value longer than the library's line buffer is read completely")
{
    // The library reads at most 199 characters of a line and parses the rest
    // as a new line.
    std::string seeds;
    for (int i = 0; i < 40; ++i)
        seeds += (i ? " 127.0.0.1:" : "127.0.0.1:") + std::to_string(7000 + i);
    std::string const text =
        "[daemon]\nlisten = 127.0.0.1:80\nseeds = " + seeds + "\nsize = 11\n";
    CHECK(error_message_for(text).find("a.ini:4: daemon.size") == 0);
    settings const values =
        settings_builder(schema)
            .file("a.ini", text.substr(0, text.rfind("size")))
            .build();
    CHECK(values.addresses("daemon", "seeds").size() == 40);
    CHECK(values.addresses("daemon", "seeds").back() == "127.0.0.1:7039");
}

TEST_CASE("a flag overrides the settings file")
{
    settings const values = settings_builder(schema)
                                .file("a.ini", "[daemon]\nlisten=127.0.0.1:1")
                                .override_value("daemon.size=9")
                                .build();
    CHECK(values.number("daemon", "size") == 9);
}

TEST_CASE("a waker set after a push is called for the queued message")
{
    // A duty installs its waker on its own thread, and other threads may have
    // pushed before. Guards against a message that stays unread.
    ring<int> queue(4);
    CHECK(queue.try_push(1));
    int calls = 0;
    waker_scope const waker = queue.set_waker([&] { ++calls; });
    CHECK(calls == 1);
}

TEST_CASE("the end of a waker's scope waits for its calls and ends them")
{
    // Guards against a push or close of another thread that uses the event loop
    // of a duty whose thread has ended (review/5).
    ring<int> queue(4);
    std::atomic<int> calls{0};
    std::promise<void> release;
    waker_scope waker = queue.set_waker(
        [&]
        {
            ++calls;
            release.get_future().wait();
        });
    std::thread writer([&] { queue.try_push(1); });
    while (calls == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    std::atomic<bool> is_removed{false};
    std::thread reader(
        [&]
        {
            waker.reset();
            is_removed = true;
        });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK_FALSE(is_removed);
    release.set_value();
    writer.join();
    reader.join();
    std::vector<int> out;
    queue.pop_all(out);
    CHECK(queue.try_push(2));
    queue.close();
    CHECK(calls == 1);
}
