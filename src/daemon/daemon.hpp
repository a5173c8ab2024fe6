#ifndef GOOSEBERRYCOVE_DAEMON_DAEMON_HPP
#define GOOSEBERRYCOVE_DAEMON_DAEMON_HPP

#include <gooseberrycove/key_set.hpp>
#include <gooseberrycove/settings.hpp>
#include <gooseberrycove/types.hpp>

#include <functional>
#include <memory>

namespace gooseberrycove
{

/// All duties of one daemon, each on its own thread.
class daemon_process
{
public:
    ~daemon_process();

    /// Starts the threads. \p on_failure is called on a thread that ended with
    /// an exception, such as an address that is in use.
    void start(std::function<void(std::string_view what)> const& on_failure);

    /// Reads the key files again. \throws settings_error
    void reload_keys();

    /// Takes no new work for the backend servers here and tells peers that this
    /// daemon leaves. Passes callers' requests on to other daemons until
    /// \p notice_end, then refuses them as not run, and waits for the requests
    /// in flight until \p limit.
    void drain(time_point notice_end, time_point limit);

    /// Ends all threads. Called once, after start().
    void stop();

private:
    friend class daemon_builder;
    struct implementation;
    explicit daemon_process(std::unique_ptr<implementation> made);

    std::unique_ptr<implementation> m_implementation;
};

class daemon_builder
{
public:
    /// Checked values of daemon_schema().
    daemon_builder& values(settings const& from);

    /// Number of this run; rises with every start of the same daemon.
    daemon_builder& incarnation(std::uint64_t number);

    /// \throws settings_error when a key file is unusable
    std::unique_ptr<daemon_process> build() const;

private:
    settings m_values;
    std::uint64_t m_incarnation = 0;
};

} // namespace gooseberrycove

#endif
