// Stand-ins for the platform's store, backends and clients, and a launcher for
// the project's daemons. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace standin
{

using nlohmann::json;
using steady = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline bool has_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline steady::time_point const program_start = steady::now();

inline std::int64_t elapsed_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               steady::now() - program_start)
        .count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Lines of record.txt, each with the milliseconds since the start.
class record_file
{
public:
    explicit record_file(std::string const& path) : m_out(path) {}

    void line(std::string const& text)
    {
        std::lock_guard const guard(m_mutex);
        m_out << elapsed_ms() << " " << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

struct message
{
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string const& name) const
    {
        for (auto const& [key, value] : headers)
        {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
};

inline bool send_all(int fd, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        ssize_t const count = ::send(fd, bytes.data() + sent,
                                     bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads HTTP/1.1 messages from a socket.
class reader
{
public:
    explicit reader(int fd) : m_fd(fd) {}

    bool read_message(message& out, bool is_response, bool is_head = false)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
        {
            if (!fill())
                return false;
        }
        out = {};
        std::istringstream head(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, line);
        std::istringstream first(line);
        if (is_response)
        {
            std::string version;
            first >> version >> out.status;
        }
        else
            first >> out.method >> out.target;
        while (std::getline(head, line))
        {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            auto const colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto const from = line.find_first_not_of(" \t", colon + 1);
            out.headers.emplace_back(
                line.substr(0, colon),
                from == std::string::npos ? "" : line.substr(from));
        }
        if (is_head || out.status == 204 || out.status == 304)
            return true;
        std::string const length = out.header("Content-Length");
        if (out.header("Transfer-Encoding") == "chunked")
            return read_chunks(out.body);
        if (!length.empty())
            return read_bytes(std::stoull(length), out.body);
        if (!is_response)
            return true;
        while (fill())
        {
        }
        out.body = std::move(m_buffer);
        m_buffer.clear();
        return true;
    }

private:
    bool fill()
    {
        char chunk[65536];
        ssize_t const count = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (count <= 0)
            return false;
        m_buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    }

    bool read_bytes(std::size_t count, std::string& out)
    {
        while (m_buffer.size() < count)
        {
            if (!fill())
                return false;
        }
        out += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool read_chunks(std::string& out)
    {
        for (;;)
        {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos)
            {
                if (!fill())
                    return false;
            }
            std::size_t const size =
                std::stoull(m_buffer.substr(0, end), nullptr, 16);
            m_buffer.erase(0, end + 2);
            std::string line_end;
            if (!read_bytes(size, out) || !read_bytes(2, line_end))
                return false;
            if (size == 0)
                return true;
        }
    }

    int m_fd;
    std::string m_buffer;
};

inline sockaddr_in make_address(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Returns a socket, or -1.
inline int connect_to(std::string const& ip, int port,
                      std::chrono::milliseconds limit = 60s)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval const wait{limit.count() / 1000, limit.count() % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in const address = make_address(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr const*>(&address),
                  sizeof address) == 0)
        return fd;
    ::close(fd);
    return -1;
}

/// A port at which nothing listens now, another one with each call. Called by
/// the main thread.
inline int free_port(std::string const& ip)
{
    static std::mt19937 random(std::random_device{}());
    static std::set<int> given;
    for (;;)
    {
        // Below the range of ephemeral ports.
        int const port = 12000 + static_cast<int>(random() % 18000);
        int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in const address = make_address(ip, port);
        bool const is_free =
            ::bind(fd, reinterpret_cast<sockaddr const*>(&address),
                   sizeof address) == 0;
        ::close(fd);
        if (is_free && given.insert(port).second)
            return port;
    }
}

/// Listens and calls a function for each connection in a thread of its own.
/// The function returns when the connection is to be closed.
class server
{
public:
    using on_connection = std::function<void(int)>;

    server(std::string const& ip, int port, on_connection serve)
        : m_serve(std::move(serve))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in const address = make_address(ip, port);
        if (::bind(m_fd, reinterpret_cast<sockaddr const*>(&address),
                   sizeof address) != 0 ||
            ::listen(m_fd, 512) != 0)
        {
            std::fprintf(stderr, "cannot listen at %s:%d\n", ip.c_str(), port);
            std::exit(2);
        }
        m_thread = std::thread([this] { accept_all(); });
    }

    ~server() { stop(); }

    void stop()
    {
        if (m_fd < 0)
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        m_fd = -1;
        std::unique_lock guard(m_mutex);
        for (int const fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
        m_ended.wait(guard, [this] { return m_open.empty(); });
    }

private:
    void accept_all()
    {
        for (;;)
        {
            int const fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            int const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                std::lock_guard const guard(m_mutex);
                m_open.insert(fd);
            }
            std::thread(
                [this, fd]
                {
                    m_serve(fd);
                    ::close(fd);
                    std::lock_guard const guard(m_mutex);
                    m_open.erase(fd);
                    m_ended.notify_all();
                })
                .detach();
        }
    }

    on_connection m_serve;
    int m_fd = -1;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::set<int> m_open;
};

inline std::string make_response(
    int status,
    std::vector<std::pair<std::string, std::string>> const& headers,
    std::string const& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

inline std::string encode_base64(std::string const& text)
{
    static char const digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
                                 "qrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3)
    {
        unsigned block = 0;
        for (std::size_t j = 0; j < 3; ++j)
            block = block << 8 |
                    (i + j < text.size()
                         ? static_cast<unsigned char>(text[i + j])
                         : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j > text.size() ? '='
                                       : digits[block >> (18 - 6 * j) & 63];
    }
    return out;
}

inline std::string decode_percent(std::string const& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += text[i];
    }
    return out;
}

inline std::map<std::string, std::string> query_of(std::string const& target)
{
    std::map<std::string, std::string> out;
    auto const mark = target.find('?');
    if (mark == std::string::npos)
        return out;
    std::istringstream pairs(target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&'))
    {
        auto const equals = pair.find('=');
        if (equals != std::string::npos)
            out[pair.substr(0, equals)] =
                decode_percent(pair.substr(equals + 1));
    }
    return out;
}

/// The platform's store: rows with versions, and a feed of their changes. All
/// rows have the empty part.
class store
{
public:
    store(std::string const& ip, int port)
        : m_server(ip, port, [this](int fd) { serve(fd); })
    {
    }

    ~store()
    {
        {
            std::lock_guard const guard(m_mutex);
            m_is_stopping = true;
            m_changed.notify_all();
        }
        m_server.stop();
    }

    /// The operator's write of a configuration.
    void put_config(json const& config)
    {
        std::lock_guard const guard(m_mutex);
        put("op", "config", encode_base64(config.dump()));
        m_changed.notify_all();
    }

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool is_gone = false;
    };
    using row_key = std::pair<std::string, std::string>;

    void put(std::string const& table, std::string const& key,
             std::string const& value)
    {
        m_rows[{table, key}] = {value, ++m_version, false};
    }

    json to_json(row_key const& key, row const& content) const
    {
        json out{{"table", key.first},
                 {"part", ""},
                 {"key", key.second},
                 {"ver", content.version}};
        if (content.is_gone)
            out["tombstone"] = true;
        else
            out["value"] = content.value;
        return out;
    }

    json reply_with(json rows) const
    {
        return {{"rows", std::move(rows)},
                {"has_more", false},
                {"ver", m_version},
                {"now_ms", elapsed_ms()}};
    }

    json get(std::map<std::string, std::string> const& query)
    {
        std::lock_guard const guard(m_mutex);
        auto const at = [&](char const* name)
        {
            auto const found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        std::size_t const limit =
            at("limit").empty() ? 500 : std::stoul(at("limit"));
        json rows = json::array();
        for (auto const& [key, content] : m_rows)
        {
            if (key.first != at("table") || content.is_gone ||
                key.second < at("from") ||
                (!at("target").empty() && key.second >= at("target")) ||
                rows.size() >= limit)
                continue;
            rows.push_back(to_json(key, content));
        }
        return reply_with(std::move(rows));
    }

    json feed(std::map<std::string, std::string> const& query)
    {
        std::unique_lock guard(m_mutex);
        std::uint64_t const after = std::stoull(query.at("after"));
        json rows = json::array();
        auto const collect = [&]
        {
            rows = json::array();
            for (auto const& [key, content] : m_rows)
            {
                if (key.first == query.at("table") && content.version > after)
                    rows.push_back(to_json(key, content));
            }
            return !rows.empty() || m_is_stopping;
        };
        m_changed.wait_for(
            guard, std::chrono::milliseconds(std::stoul(query.at("wait_ms"))),
            collect);
        return reply_with(std::move(rows));
    }

    std::pair<int, json> transact(json const& call)
    {
        std::lock_guard const guard(m_mutex);
        json current = json::array();
        bool holds = true;
        for (json const& item : call.value("expected_rev", json::array()))
        {
            row_key const key{item["table"], item["key"]};
            auto const found = m_rows.find(key);
            bool const exists =
                found != m_rows.end() && !found->second.is_gone;
            holds = holds &&
                    item["ver"] == (exists ? found->second.version : 0);
            if (exists)
                current.push_back(to_json(key, found->second));
        }
        if (!holds)
            return {412, reply_with(std::move(current))};
        ++m_version;
        for (json const& item : call.value("writes", json::array()))
            m_rows[{item["table"], item["key"]}] = {item["value"], m_version,
                                                    false};
        for (json const& item : call.value("remove", json::array()))
            m_rows[{item["table"], item["key"]}] = {"", m_version, true};
        m_changed.notify_all();
        return {200, {{"ver", m_version}, {"now_ms", elapsed_ms()}}};
    }

    void serve(int fd)
    {
        reader in(fd);
        message call;
        while (in.read_message(call, false))
        {
            std::string const path =
                call.target.substr(0, call.target.find('?'));
            auto const query = query_of(call.target);
            std::pair<int, json> reply{404, json::object()};
            if (path == "/api/rows-get")
                reply = {200, get(query)};
            else if (path == "/api/rows-feed")
                reply = {200, feed(query)};
            else if (path == "/api/rows-tx")
                reply = transact(json::parse(call.body));
            if (!send_all(fd, make_response(
                                  reply.first,
                                  {{"Content-Type", "application/json"}},
                                  reply.second.dump())))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<row_key, row> m_rows;
    std::uint64_t m_version = 100;
    bool m_is_stopping = false;
    server m_server;
};

/// A request that a backend has run.
struct run
{
    std::string backend;
    std::string service;
    message request;
    std::int64_t at_ms = 0;
};

/// All backends' runs.
class run_log
{
public:
    void add(run item)
    {
        std::lock_guard const guard(m_mutex);
        m_runs.push_back(std::move(item));
    }

    std::vector<run> all()
    {
        std::lock_guard const guard(m_mutex);
        return m_runs;
    }

    std::vector<run> with_id(std::string const& id)
    {
        std::vector<run> found;
        for (run& item : all())
        {
            if (item.request.header("X-Request-Id") == id)
                found.push_back(std::move(item));
        }
        return found;
    }

private:
    std::mutex m_mutex;
    std::vector<run> m_runs;
};

struct backend_options
{
    std::string id;
    std::string service;
    std::string ip = "127.0.0.1";
    int slots = 4;
    std::string zone = "zone-a";
    std::string control_ip;
    int control_port = 0;
    std::chrono::milliseconds work{5};
    /// Body of the answer to a request.
    std::function<std::string(message const&)> body = [](message const&)
    { return std::string("done"); };
};

/// A sound backend. It heartbeats to the control address of its machine.
class backend
{
public:
    backend(backend_options options, run_log& runs)
        : m_options(std::move(options)), m_runs(runs),
          m_port(free_port(m_options.ip)), m_born(unix_ms()),
          m_server(m_options.ip, m_port, [this](int fd) { serve(fd); }),
          m_beats([this] { send_beats(); })
    {
    }

    ~backend()
    {
        m_is_stopping = true;
        m_beats.join();
        m_server.stop();
    }

    int acknowledged_beats() const { return m_acknowledged; }

    void stop_beats() { m_is_silent = true; }

    /// Body of the next heartbeat.
    std::string next_beat()
    {
        return json{{"service", m_options.service},
                    {"address", m_options.ip + ":" + std::to_string(m_port)},
                    {"zone", m_options.zone},
                    {"version", "v1"},
                    {"slots", m_options.slots},
                    {"state", "serving"},
                    {"warmup_ms", 0},
                    {"sequence", ++m_sequence},
                    {"born", m_born}}
            .dump();
    }

private:
    void serve(int fd)
    {
        reader in(fd);
        message request;
        while (in.read_message(request, false))
        {
            std::string const id = request.header("X-Request-Id");
            std::vector<std::pair<std::string, std::string>> headers{
                {"X-Instance-Id", m_options.id},
                {"X-Server-Load", std::to_string(m_running.load()) + ",0," +
                                      std::to_string(m_options.slots)}};
            if (!id.empty())
                headers.emplace_back("X-Request-Id", id);
            if (request.target == "/health")
            {
                if (!send_all(fd, make_response(200, headers, "")))
                    return;
                continue;
            }
            std::string const expected = request.header("X-Target-Instance");
            if (!expected.empty() && expected != m_options.id)
            {
                if (!send_all(fd, make_response(421, headers, "")))
                    return;
                continue;
            }
            ++m_running;
            m_runs.add(
                {m_options.id, m_options.service, request, elapsed_ms()});
            std::this_thread::sleep_for(m_options.work);
            headers.emplace_back("X-Server-Stamp",
                                 m_options.id + "." + id + ".600");
            std::string const body =
                request.method == "HEAD" ? "" : m_options.body(request);
            --m_running;
            if (!send_all(fd, make_response(200, headers, body)))
                return;
        }
    }

    void send_beats()
    {
        while (!m_is_stopping)
        {
            if (m_is_silent)
            {
                std::this_thread::sleep_for(100ms);
                continue;
            }
            int const fd =
                connect_to(m_options.control_ip, m_options.control_port, 1s);
            message reply;
            std::string const body = next_beat();
            if (fd >= 0 &&
                send_all(fd, "POST /announce/" + m_options.id +
                                 " HTTP/1.1\r\nHost: c\r\nContent-Type: "
                                 "application/json\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" +
                                 body) &&
                reader(fd).read_message(reply, true) && reply.status == 200)
                ++m_acknowledged;
            if (fd >= 0)
                ::close(fd);
            bool const is_new = m_acknowledged == 0;
            for (int i = 0; i < (is_new ? 2 : 15) && !m_is_stopping; ++i)
                std::this_thread::sleep_for(100ms);
        }
    }

    backend_options m_options;
    run_log& m_runs;
    int m_port;
    std::int64_t m_born;
    std::atomic<int> m_running{0};
    std::atomic<int> m_acknowledged{0};
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<bool> m_is_silent{false};
    std::atomic<bool> m_is_stopping{false};
    server m_server;
    std::thread m_beats;
};

struct daemon_options
{
    std::string name;
    std::string ip = "127.0.0.1";
    std::string service;
    std::string zone = "zone-a";
    int memory_mb = 160;
    int max_fds = 4100;
};

/// Runs the command of the deploy file with the settings that its template
/// gives.
class daemon_process
{
public:
    daemon_process(daemon_options options, std::string const& store_address,
                   std::string const& folder)
        : m_options(std::move(options)),
          m_settings(folder + "/" + m_options.name + ".conf"),
          m_log(folder + "/" + m_options.name + ".log")
    {
        std::map<std::string, std::string> values{
            {"node_name", m_options.name},
            {"zone", m_options.zone},
            {"service", m_options.service},
            {"ip", m_options.ip},
            {"platform.address", store_address},
            {"limits.memory_mb", std::to_string(m_options.memory_mb)},
            {"limits.max_fds", std::to_string(m_options.max_fds)},
            {"bounds.grace_s", "6"},
            {"bounds.floor_share", "0.7"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_slack", "166"},
            {"bounds.quota_window_s", "5"}};
        outbound = free_port(m_options.ip);
        ready = free_port(m_options.ip);
        control = free_port(m_options.ip);
        auto const with_ip = [&](int port)
        { return m_options.ip + ":" + std::to_string(port); };
        values["bind.outbound"] = with_ip(outbound);
        values["bind.ready"] = with_ip(ready);
        values["bind.control"] = with_ip(control);
        values["internal_ports.0"] = std::to_string(free_port(m_options.ip));
        values["internal_ports.1"] = std::to_string(free_port(m_options.ip));
        std::ifstream in("deploy/daemon.ini");
        std::string const text((std::istreambuf_iterator<char>(in)), {});
        std::string out;
        std::size_t at = 0;
        for (std::size_t open; (open = text.find("{{", at)) != text.npos;)
        {
            std::size_t const close = text.find("}}", open);
            out += text.substr(at, open - at);
            out += values.at(text.substr(open + 2, close - open - 2));
            at = close + 2;
        }
        std::ofstream(m_settings) << out << text.substr(at);
        start();
    }

    ~daemon_process() { end(); }

    void start()
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        // A driver that is killed leaves no daemon behind.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        std::FILE* const log = std::freopen(m_log.c_str(), "a", stdout);
        if (log)
            ::dup2(::fileno(log), 2);
        std::string const settings = "--settings=" + m_settings;
        ::execl("target/bin/gcove_daemon", "target/bin/gcove_daemon",
                settings.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) { ::kill(m_pid, number); }

    /// Whether the process has ended; sets its wait status.
    bool has_ended(int& status)
    {
        if (m_pid <= 0)
            return true;
        if (::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        return true;
    }

    void end()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    bool is_ready() const
    {
        int const fd = connect_to(m_options.ip, ready, 1s);
        if (fd < 0)
            return false;
        message reply;
        bool const answered =
            send_all(fd, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n") &&
            reader(fd).read_message(reply, true);
        ::close(fd);
        return answered && reply.status == 200;
    }

    std::string const& ip() const { return m_options.ip; }
    std::string const& name() const { return m_options.name; }

    int outbound = 0;
    int ready = 0;
    int control = 0;

private:
    daemon_options m_options;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
};

template <class Condition>
bool wait_for(std::chrono::milliseconds limit, Condition condition)
{
    auto const end = steady::now() + limit;
    while (!condition())
    {
        if (steady::now() >= end)
            return false;
        std::this_thread::sleep_for(50ms);
    }
    return true;
}

inline std::string new_id()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    std::lock_guard const guard(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(random()));
    return text;
}

struct client_request
{
    std::string method = "GET";
    std::string target;
    std::string host;
    std::string id;
    std::string key;
    int timeout_ms = 4000;
    std::string body;
};

inline std::string to_text(client_request const& request)
{
    std::string out = request.method + " " + request.target +
                      " HTTP/1.1\r\nHost: " + request.host +
                      "\r\nX-Request-Id: " + request.id +
                      "\r\nX-Request-Timeout-Ms: " +
                      std::to_string(request.timeout_ms) + "\r\n";
    if (!request.key.empty())
        out += "Api-Key: " + request.key + "\r\n";
    if (!request.body.empty() || request.method != "GET")
        out += "Content-Length: " + std::to_string(request.body.size()) +
               "\r\n";
    return out + "\r\n" + request.body;
}

/// Sends a request on a new connection. Returns status 0 when there is no
/// complete answer.
inline message ask(std::string const& ip, int port,
                   client_request const& request)
{
    message reply;
    int const fd = connect_to(
        ip, port, std::chrono::milliseconds(request.timeout_ms + 1000));
    if (fd < 0)
        return reply;
    if (!send_all(fd, to_text(request)) ||
        !reader(fd).read_message(reply, true, request.method == "HEAD"))
        reply = {};
    ::close(fd);
    return reply;
}

/// A route of the operator's configuration.
inline json make_route(std::string const& host, std::string const& prefix,
                       std::string const& kind, std::string const& service,
                       bool is_public = false)
{
    return {{"host", host},           {"prefix", prefix},
            {"kind", kind},           {"timeout_ms", 4000},
            {"priority", 1},          {"target_latency_ms", 2000},
            {"service", service},     {"attempts", 2},
            {"public", is_public}};
}

inline json make_service()
{
    return {{"health_path", "/health"},
            {"max_connections", 390},
            {"protocol", "h1"},
            {"tls", false}};
}

inline json make_limits()
{
    return {{"max_header_bytes", 16384},
            {"max_body_bytes", 67108864},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

/// A temporary folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/review-XXXXXX";
        path = ::mkdtemp(name);
    }
    ~temporary_folder()
    {
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(path);
        else
            std::fprintf(stderr, "%s\n", path.c_str());
    }
    std::string path;
};

struct fleet_options
{
    std::string service;
    std::size_t daemons = 2;
    int memory_mb = 160;
    int slots = 5;
    std::chrono::milliseconds work{5};
};

/// A store, and machines with a daemon and a backend of one service each.
struct fleet
{
    fleet(fleet_options const& options, std::string const& folder,
          run_log& runs)
        : store_port(free_port("127.0.0.1")), platform("127.0.0.1", store_port)
    {
        for (std::size_t i = 0; i < options.daemons; ++i)
        {
            std::string const number = std::to_string(i + 1);
            daemons.push_back(std::make_unique<daemon_process>(
                daemon_options{.name = "sidecar-a-" + number,
                               .service = options.service,
                               .memory_mb = options.memory_mb},
                "127.0.0.1:" + std::to_string(store_port), folder));
            backends.push_back(std::make_unique<backend>(
                backend_options{.id = "i-" + number,
                                .service = options.service,
                                .slots = options.slots,
                                .control_ip = "127.0.0.1",
                                .control_port = daemons.back()->control,
                                .work = options.work},
                runs));
        }
    }

    /// Waits until each daemon is ready and has served a request.
    bool wait_until_serving(record_file& record, std::string const& host,
                            std::string const& target,
                            std::string const& key = {})
    {
        for (auto const& one : daemons)
        {
            bool const is_serving = wait_for(
                20s,
                [&]
                {
                    client_request request;
                    request.target = target;
                    request.host = host;
                    request.id = new_id();
                    request.key = key;
                    return one->is_ready() &&
                           ask("127.0.0.1", one->outbound, request).status ==
                               200;
                });
            record.line(one->name() +
                        (is_serving ? " serves" : " doesn't serve"));
            if (!is_serving)
                return false;
        }
        return true;
    }

    int store_port;
    store platform;
    std::vector<std::unique_ptr<daemon_process>> daemons;
    std::vector<std::unique_ptr<backend>> backends;
};

/// Writes the verdict and returns the exit code of the case.
inline int report(record_file& record, std::string const& rule, int broken,
                  std::string const& what)
{
    std::string const verdict = (broken > 0 ? rule + " broken: " : "held: ") +
                                std::to_string(broken) + " " + what;
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    std::fflush(stdout);
    return broken > 0 ? 1 : 0;
}

} // namespace standin
