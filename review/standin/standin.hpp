// Stand-ins for the users' platform, its backend servers and clients, for the
// scripts of this review. They speak what PROTOCOL.md and DEPLOY.md say.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

inline clock_type::time_point const start_time = clock_type::now();

inline double now_s()
{
    return std::chrono::duration<double>(clock_type::now() - start_time)
        .count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Writes record.txt.
class recorder
{
public:
    void open(std::string const& path) { m_file.open(path); }
    void line(std::string const& text)
    {
        std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f  ", now_s());
        m_file << stamp << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline recorder record;

/// Listens on a port of 127.0.0.1; returns -1 when it is in use.
inline int listen_on(int port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        ::listen(fd, 256) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// A free port below the ephemeral range, where no connection begins.
inline int free_port()
{
    static int next = 12000 + static_cast<int>(::getpid() % 18000L * 997 % 18000);
    while (true)
    {
        int const port = next++;
        int const fd = listen_on(port);
        if (fd < 0)
            continue;
        ::close(fd);
        return port;
    }
}

inline std::string address_of(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline int connect_to(int port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0)
    {
        ::close(fd);
        return -1;
    }
    int const on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string_view data)
{
    while (!data.empty())
    {
        ssize_t const sent =
            ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

struct message
{
    /// First line, without line break.
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const
    {
        for (auto const& [key, value] : headers)
            if (key.size() == name.size() &&
                strncasecmp(key.data(), name.data(), name.size()) == 0)
                return value;
        return {};
    }
    std::string word(int position) const
    {
        std::istringstream in(first);
        std::string out;
        for (int i = 0; i <= position; ++i)
            in >> out;
        return out;
    }
    int status() const { return std::atoi(word(1).c_str()); }
};

/// Reads HTTP/1.1 messages from a socket.
class reader
{
public:
    explicit reader(int fd) : m_fd(fd) {}

    /// Returns false at the end of the connection, at a time-out and when the
    /// bytes are no message.
    bool read(message& out, double timeout_s, bool is_response = false,
              bool has_body = true)
    {
        m_deadline = now_s() + timeout_s;
        out = {};
        std::size_t end;
        while ((end = m_data.find("\r\n\r\n")) == std::string::npos)
            if (!more())
                return false;
        std::istringstream head(m_data.substr(0, end));
        m_data.erase(0, end + 4);
        std::string line;
        while (std::getline(head, line))
        {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            if (out.first.empty())
            {
                out.first = line;
                continue;
            }
            auto const colon = line.find(':');
            auto const value = line.find_first_not_of(' ', colon + 1);
            out.headers.emplace_back(
                line.substr(0, colon),
                value == std::string::npos ? "" : line.substr(value));
        }
        if (is_response && out.first.rfind("HTTP/1.1 ", 0) != 0)
        {
            is_garbage = true;
            return false;
        }
        if (!has_body)
            return true;
        if (out.header("Transfer-Encoding") == "chunked")
            return read_chunks(out.body);
        std::size_t const length =
            std::strtoull(out.header("Content-Length").c_str(), nullptr, 10);
        while (m_data.size() < length)
            if (!more())
                return false;
        out.body = m_data.substr(0, length);
        m_data.erase(0, length);
        return true;
    }

    /// Waits for bytes that no message accounts for.
    std::string rest(double wait_s)
    {
        m_deadline = now_s() + wait_s;
        while (m_data.empty() && more())
        {
        }
        return m_data;
    }

    bool is_garbage = false;
    bool has_timed_out = false;

private:
    bool more()
    {
        double const left = m_deadline - now_s();
        pollfd waiting{m_fd, POLLIN, 0};
        if (left <= 0 ||
            ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0)
        {
            has_timed_out = true;
            return false;
        }
        static thread_local std::vector<char> buffer(1 << 16);
        ssize_t const got = ::recv(m_fd, buffer.data(), buffer.size(), 0);
        if (got <= 0)
            return false;
        m_data.append(buffer.data(), static_cast<std::size_t>(got));
        return true;
    }

    bool read_chunks(std::string& body)
    {
        while (true)
        {
            std::size_t end;
            while ((end = m_data.find("\r\n")) == std::string::npos)
                if (!more())
                    return false;
            std::size_t const size =
                std::strtoull(m_data.c_str(), nullptr, 16);
            while (m_data.size() < end + 2 + size + 2)
                if (!more())
                    return false;
            body += m_data.substr(end + 2, size);
            m_data.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_fd;
    std::string m_data;
    double m_deadline = 0;
};

inline std::string
make_response(int status, std::string const& body,
              std::vector<std::pair<std::string, std::string>> const& headers,
              bool sends_body = true)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) +
                      (status < 300 ? " OK" : " Failed") + "\r\n";
    for (auto const& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return sends_body ? out + body : out;
}

/// Accepts connections and serves each in its own thread.
class server
{
public:
    using handler = std::function<std::string(message const&, int fd)>;

    /// Closes the listener and resets all connections.
    void stop()
    {
        std::lock_guard lock(m_mutex);
        m_is_stopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        for (int const fd : m_connections)
        {
            linger const reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    server(int port, handler handle) : m_handle(std::move(handle))
    {
        m_listener = listen_on(port);
        if (m_listener < 0)
            std::exit(2);
        std::thread([this] { accept(); }).detach();
    }

private:
    void accept()
    {
        while (true)
        {
            int const fd = ::accept4(m_listener, nullptr, nullptr,
                                     SOCK_CLOEXEC);
            std::unique_lock lock(m_mutex);
            if (m_is_stopped)
                return;
            if (fd < 0)
                continue;
            m_connections.insert(fd);
            lock.unlock();
            int const on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(
                [this, fd]
                {
                    reader in(fd);
                    message request;
                    while (in.read(request, 600))
                    {
                        std::string const reply = m_handle(request, fd);
                        if (reply.empty() || !send_all(fd, reply))
                            break;
                    }
                    std::lock_guard end_lock(m_mutex);
                    m_connections.erase(fd);
                    ::close(fd);
                })
                .detach();
        }
    }

    handler m_handle;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_connections;
    bool m_is_stopped = false;
};

inline std::string to_base64(std::string const& in)
{
    static char const digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 |
                    (i + j < in.size()
                         ? static_cast<unsigned char>(in[i + j])
                         : 0);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j > in.size() ? '=' : digits[value >> (18 - 6 * j) & 63];
    }
    return out;
}

/// The platform's store of rows; values stay in base64.
class row_store
{
public:
    explicit row_store(int port)
        : m_server(port, [this](message const& request, int)
                   { return handle(request); })
    {
    }

    void put(std::string const& table, std::string const& key,
             std::string const& value)
    {
        std::lock_guard lock(m_mutex);
        m_rows[{table, key}] = {to_base64(value), ++m_version, false};
        m_changed.notify_all();
    }

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool is_removed = false;
    };
    using location = std::pair<std::string, std::string>;

    static std::string decode(std::string const& text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            if (text[i] != '%')
            {
                out += text[i];
                continue;
            }
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        }
        return out;
    }

    static std::map<std::string, std::string> query(std::string const& target)
    {
        std::map<std::string, std::string> out;
        auto const mark = target.find('?');
        if (mark == std::string::npos)
            return out;
        std::istringstream in(target.substr(mark + 1));
        std::string part;
        while (std::getline(in, part, '&'))
        {
            auto const equals = part.find('=');
            out[part.substr(0, equals)] =
                equals == std::string::npos ? ""
                                            : decode(part.substr(equals + 1));
        }
        return out;
    }

    json base() const
    {
        return {{"ver", m_version},
                {"now_ms", static_cast<std::int64_t>(now_s() * 1000)}};
    }

    static json to_json(location const& where, row const& value)
    {
        json out{{"table", where.first},
                 {"part", ""},
                 {"key", where.second},
                 {"ver", value.version}};
        if (value.is_removed)
            out["tombstone"] = true;
        else
            out["value"] = value.value;
        return out;
    }

    std::string get(std::map<std::string, std::string> const& args)
    {
        std::lock_guard lock(m_mutex);
        json out = base();
        out["rows"] = json::array();
        auto const text = [&](char const* name)
        {
            auto const found = args.find(name);
            return found == args.end() ? std::string() : found->second;
        };
        std::size_t const limit =
            text("limit").empty() ? 500 : std::stoul(text("limit"));
        for (auto const& [where, value] : m_rows)
        {
            if (where.first != text("table") || value.is_removed ||
                where.second < text("from") ||
                (!text("target").empty() && where.second >= text("target")) ||
                out["rows"].size() >= limit)
                continue;
            out["rows"].push_back(to_json(where, value));
        }
        out["has_more"] = false;
        return reply(200, out);
    }

    std::string feed(std::map<std::string, std::string> const& args)
    {
        std::uint64_t const after = std::stoull(args.at("after"));
        std::unique_lock lock(m_mutex);
        json rows = json::array();
        auto const find = [&]
        {
            rows = json::array();
            for (auto const& [where, value] : m_rows)
                if (where.first == args.at("table") && value.version > after)
                    rows.push_back(to_json(where, value));
            return !rows.empty();
        };
        m_changed.wait_for(
            lock, std::chrono::milliseconds(std::stoi(args.at("wait_ms"))),
            find);
        json out = base();
        out["rows"] = rows;
        return reply(200, out);
    }

    std::string transact(json const& body)
    {
        std::lock_guard lock(m_mutex);
        auto const where = [](json const& item)
        {
            return location{item.at("table").get<std::string>(),
                            item.at("key").get<std::string>()};
        };
        bool has_failed = false;
        json current = json::array();
        for (json const& item : body.value("expected_rev", json::array()))
        {
            auto const found = m_rows.find(where(item));
            std::uint64_t const version =
                found == m_rows.end() || found->second.is_removed
                    ? 0
                    : found->second.version;
            has_failed |= version != item.at("ver").get<std::uint64_t>();
            if (version > 0)
                current.push_back(to_json(found->first, found->second));
        }
        if (has_failed)
        {
            json out = base();
            out["rows"] = current;
            return reply(412, out);
        }
        ++m_version;
        for (json const& item : body.value("writes", json::array()))
            m_rows[where(item)] = {item.at("value"), m_version, false};
        for (json const& item : body.value("remove", json::array()))
            m_rows[where(item)] = {"", m_version, true};
        m_changed.notify_all();
        return reply(200, base());
    }

    static std::string reply(int status, json const& body)
    {
        return make_response(status, body.dump(),
                             {{"Content-Type", "application/json"}});
    }

    std::string handle(message const& request)
    {
        std::string const target = request.word(1);
        std::string const path = target.substr(0, target.find('?'));
        if (path == "/api/rows-get")
            return get(query(target));
        if (path == "/api/rows-feed")
            return feed(query(target));
        if (path == "/api/rows-tx")
            return transact(json::parse(request.body));
        return reply(404, json::object());
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<location, row> m_rows;
    std::uint64_t m_version = 0;
    server m_server;
};

/// Processes that this program started; ended at its exit.
inline std::set<pid_t> children;

inline void end_children()
{
    for (pid_t const pid : children)
    {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
    }
    for (pid_t const pid : children)
        ::waitpid(pid, nullptr, 0);
    children.clear();
}

/// One daemon with the settings that deploy/daemon.ini yields.
struct proxy_daemon
{
    std::string name;
    std::string zone;
    std::string service;
    int outbound = 0;
    int ready = 0;
    int control = 0;
    int peer = 0;
    int admin = 0;
    int store_port = 0;
    pid_t pid = 0;
    int starts = 0;
    /// Set for the process in addition to what this program has.
    std::map<std::string, std::string> environment;

    void assign()
    {
        outbound = free_port();
        ready = free_port();
        control = free_port();
        peer = free_port();
        admin = free_port();
    }

    /// Fills in the template of the deploy file.
    std::string settings(std::string const& root) const
    {
        std::map<std::string, std::string> const values{
            {"node_name", name},
            {"zone", zone},
            {"service", service},
            {"bind.outbound", address_of(outbound)},
            {"bind.ready", address_of(ready)},
            {"bind.control", address_of(control)},
            {"ip", "127.0.0.1"},
            {"internal_ports.0", std::to_string(peer)},
            {"internal_ports.1", std::to_string(admin)},
            {"platform.address", address_of(store_port)},
            {"bounds.grace_s", "6"},
            {"limits.memory_mb", "260"},
            {"limits.max_fds", "4100"},
            {"bounds.floor_share", "0.7"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_slack", "62"}};
        std::ifstream file(root + "/deploy/daemon.ini");
        std::string text((std::istreambuf_iterator<char>(file)), {});
        for (auto const& [key, value] : values)
        {
            std::string const mark = "{{" + key + "}}";
            for (auto at = text.find(mark); at != std::string::npos;
                 at = text.find(mark))
                text.replace(at, mark.size(), value);
        }
        if (text.empty() || text.find("{{") != std::string::npos)
        {
            std::fprintf(stderr, "deploy/daemon.ini has unknown fields\n");
            std::exit(2);
        }
        return text;
    }

    void start(std::string const& root, std::string const& run)
    {
        std::string const file = run + "/" + name + ".conf";
        std::ofstream(file) << settings(root);
        std::string const log =
            run + "/" + name + "." + std::to_string(++starts) + ".log";
        pid = ::fork();
        if (pid == 0)
        {
            int const out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            sigset_t none;
            sigemptyset(&none);
            ::sigprocmask(SIG_SETMASK, &none, nullptr);
            if (::chdir(root.c_str()) != 0)
                ::_exit(127);
            for (auto const& [variable, value] : environment)
                ::setenv(variable.c_str(), value.c_str(), 1);
            std::string const program = root + "/target/bin/gcove_daemon";
            std::string const argument = "--settings=" + file;
            ::execl(program.c_str(), "gcove_daemon", argument.c_str(),
                    nullptr);
            ::_exit(127);
        }
        children.insert(pid);
        record.line("platform starts " + name + ", pid " +
                    std::to_string(pid));
    }

    void signal(int number) const
    {
        record.line("platform sends signal " + std::to_string(number) + " to " +
                    name);
        ::kill(pid, number);
    }

    /// Returns the status of the ended process, or nothing after the time.
    std::optional<int> wait(double timeout_s)
    {
        double const end = now_s() + timeout_s;
        while (now_s() < end)
        {
            int status = 0;
            if (::waitpid(pid, &status, WNOHANG) == pid)
            {
                children.erase(pid);
                return status;
            }
            sleep_s(0.01);
        }
        return std::nullopt;
    }

    bool is_ready() const
    {
        int const fd = connect_to(ready);
        if (fd < 0)
            return false;
        send_all(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        reader in(fd);
        message reply;
        bool const is_ok = in.read(reply, 1, true) && reply.status() == 200;
        ::close(fd);
        return is_ok;
    }

    bool wait_ready(double timeout_s) const
    {
        double const end = now_s() + timeout_s;
        while (now_s() < end)
        {
            if (is_ready())
                return true;
            sleep_s(0.05);
        }
        return false;
    }
};

/// Posts to the control address; returns the status, or 0 without a response.
inline int post(int port, std::string const& path, json const& body,
                double timeout_s = 1)
{
    int const fd = connect_to(port);
    if (fd < 0)
        return 0;
    std::string const text = body.dump();
    send_all(fd, "POST " + path +
                     " HTTP/1.1\r\nHost: control\r\nContent-Type: "
                     "application/json\r\nContent-Length: " +
                     std::to_string(text.size()) + "\r\n\r\n" + text);
    reader in(fd);
    message reply;
    bool const is_ok = in.read(reply, timeout_s, true);
    ::close(fd);
    return is_ok ? reply.status() : 0;
}

/// A backend server beside a daemon.
class backend
{
public:
    using work = std::function<std::string(message const&, backend&)>;

    backend(std::string id, std::string service, std::string zone,
            int control_port, work run)
        : m_id(std::move(id)), m_service(std::move(service)),
          m_zone(std::move(zone)), m_control(control_port),
          m_run(std::move(run)), m_port(free_port()), m_born(unix_ms()),
          m_server(m_port, [this](message const& request, int)
                   { return handle(request); })
    {
    }

    std::string const& id() const { return m_id; }

    json beat_body(std::string const& state)
    {
        return {{"address", address_of(m_port)},
                {"service", m_service},
                {"zone", m_zone},
                {"version", "v1"},
                {"slots", 4},
                {"state", state},
                {"warmup_ms", 0},
                {"sequence", ++m_sequence},
                {"born", m_born}};
    }

    int beat(std::string const& state)
    {
        return post(m_control, "/announce/" + m_id, beat_body(state));
    }

    int deregister()
    {
        return post(m_control, "/withdraw/" + m_id, {{"born", m_born}});
    }

    /// Sends a heartbeat every 1.5 s until stop_beats().
    void start_beats()
    {
        m_is_beating = true;
        std::thread(
            [this]
            {
                while (m_is_beating)
                {
                    beat("serving");
                    for (int i = 0; i < 15 && m_is_beating; ++i)
                        sleep_s(0.1);
                }
            })
            .detach();
    }
    void stop_beats() { m_is_beating = false; }

    /// Ends its connections without an answer and refuses new ones.
    void crash()
    {
        stop_beats();
        m_server.stop();
    }

    std::string stamp() const { return "stamp." + m_id; }

    /// The answer of this server to a request.
    std::string
    answer(message const& request, int status, std::string const& body,
           std::vector<std::pair<std::string, std::string>> headers = {}) const
    {
        headers.emplace_back("X-Request-Id", request.header("X-Request-Id"));
        headers.emplace_back("X-Server-Stamp", stamp());
        return make_response(status, body, headers,
                             request.word(0) != "HEAD");
    }

private:
    std::string handle(message const& request)
    {
        if (request.header("X-Request-Id").empty())
            return make_response(200, "", {{"X-Instance-Id", m_id}});
        std::string const target = request.header("X-Target-Instance");
        if (!target.empty() && target != m_id)
            return make_response(421, "", {{"X-Instance-Id", m_id}});
        record.line("run: " + m_id + " runs " + request.word(0) + " " +
                    request.word(1) + " " + request.header("X-Request-Id") +
                    ", body " + std::to_string(request.body.size()));
        return m_run(request, *this);
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_control;
    work m_run;
    int m_port;
    std::int64_t m_born;
    std::atomic<std::uint64_t> m_sequence{0};
    std::atomic<bool> m_is_beating{false};
    server m_server;
};

struct call
{
    std::string method = "GET";
    std::string path;
    std::string host = "shop.example";
    std::string id;
    int timeout_ms = 4000;
    std::string body = {};
};

inline std::string make_request(call const& request)
{
    std::string out = request.method + " " + request.path +
                      " HTTP/1.1\r\nHost: " + request.host +
                      "\r\nX-Request-Id: " + request.id +
                      "\r\nX-Request-Timeout-Ms: " +
                      std::to_string(request.timeout_ms) + "\r\n";
    if (!request.body.empty() || request.method == "POST" ||
        request.method == "PUT")
        out += "Content-Length: " + std::to_string(request.body.size()) +
               "\r\n";
    return out + "\r\n" + request.body;
}

/// Sends one request on a new connection. Returns nothing when the connection
/// ends or the time is over without a complete answer.
inline std::optional<message> ask(int port, call const& request)
{
    record.line("sent: " + request.method + " " + request.path + " " +
                request.id + " to port " + std::to_string(port) + ", body " +
                std::to_string(request.body.size()));
    int const fd = connect_to(port);
    if (fd < 0)
    {
        record.line("answered: " + request.id + " no connection");
        return std::nullopt;
    }
    send_all(fd, make_request(request));
    reader in(fd);
    message reply;
    bool const is_ok = in.read(reply, request.timeout_ms / 1000.0, true,
                               request.method != "HEAD");
    ::close(fd);
    std::string const stamp = reply.header("X-Server-Stamp");
    record.line("answered: " + request.id + " " +
                (is_ok ? reply.first : std::string("no complete answer")) +
                (stamp.empty() ? "" : ", " + stamp));
    if (!is_ok)
        return std::nullopt;
    return reply;
}

inline json route(std::string const& prefix, std::string const& kind,
                  std::string const& service, int priority = 1)
{
    return {{"host", "shop.example"},       {"prefix", prefix},
            {"kind", kind},                 {"timeout_ms", 4000},
            {"target_latency_ms", 1500},    {"priority", priority},
            {"service", service},           {"attempts", 2}};
}

inline json config(int version, json const& routes,
                   std::vector<std::string> const& services)
{
    json out{{"version", version},
             {"routes", routes},
             {"services", json::object()},
             {"limits",
              {{"max_header_bytes", 16384},
               {"max_body_bytes", 67108864},
               {"header_timeout_ms", 3000},
               {"idle_timeout_ms", 15000}}}};
    for (std::string const& name : services)
        out["services"][name] = {{"health_path", "/health"},
                                 {"max_connections", 390},
                                 {"protocol", "h1"},
                                 {"tls", false}};
    return out;
}

/// Common start of each case: main(argc, argv) is called as CASE ROOT FOLDER,
/// the root of the repository and the folder of the case.
struct setup
{
    std::string root;
    std::string folder;
    std::string run;
    bool has_trouble = true;

    setup(int argc, char** argv)
    {
        if (argc < 3)
            std::exit(2);
        ::signal(SIGPIPE, SIG_IGN);
        end_with_children();
        root = argv[1];
        folder = argv[2];
        char const* const trouble = std::getenv("TROUBLE");
        has_trouble = !(trouble && std::string(trouble) == "0");
        record.open(folder + "/record.txt");
        char name[] = "/tmp/review.XXXXXX";
        if (!::mkdtemp(name))
            std::exit(2);
        run = name;
        record.line(std::string("TROUBLE=") + (has_trouble ? "1" : "0"));
    }

    /// Ends the processes also when this one is told to stop.
    static void end_with_children()
    {
        sigset_t stops;
        sigemptyset(&stops);
        sigaddset(&stops, SIGTERM);
        sigaddset(&stops, SIGINT);
        ::pthread_sigmask(SIG_BLOCK, &stops, nullptr);
        std::thread(
            [stops]
            {
                int number = 0;
                ::sigwait(&stops, &number);
                end_children();
                ::_exit(2);
            })
            .detach();
    }

    /// Ends all processes and exits.
    [[noreturn]] void finish(int code, std::string const& text)
    {
        end_children();
        if (!std::getenv("KEEP_LOGS"))
        {
            std::string const command = "rm -rf '" + run + "'";
            if (std::system(command.c_str()) != 0)
                code = code == 0 ? 2 : code;
        }
        else
            std::printf("logs in %s\n", run.c_str());
        record.line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
        ::_exit(code);
    }
};

} // namespace standin
