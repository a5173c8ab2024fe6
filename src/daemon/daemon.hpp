#ifndef GOOSEBERRYCOVE_DAEMON_DAEMON_HPP
#define GOOSEBERRYCOVE_DAEMON_DAEMON_HPP

#include "shutdown.hpp"
#include <gooseberrycove/key_set.hpp>
#include <gooseberrycove/settings.hpp>
#include <gooseberrycove/types.hpp>

#include <functional>
#include <memory>

namespace gooseberrycove
{

/// Waits until the given time at most. Returns true when a signal to terminate
/// came meanwhile, and then returns at once.
using termination_wait = std::function<bool(time_point end)>;

/// All duties of one daemon, each on its own thread.
class daemon_process
{
public:
    ~daemon_process();

    /// Starts the threads. When a thread ends with an exception, for example
    /// because an address is in use, it calls \p on_failure with the name of
    /// its duty and the error.
    void start(std::function<void(std::string_view reason)> const& on_failure);

    /// Reads the key files again.
    /// \throws settings_error when a key file is unusable
    void reload_keys();

    /// Serves callers and the backend servers at this home until the end of the
    /// notice, except for work that would not end by the end of the drain. Only
    /// this home can reach its servers, so they stay in use for as long as
    /// possible. Then notifies the peers that this daemon leaves and refuses
    /// new work as not run. Returns when no request is in flight, at the end of
    /// the drain at the latest. A signal to terminate during the drain extends
    /// it.
    void drain(deployment_bounds const& bounds, shutdown_schedule schedule,
               termination_wait const& wait);

    /// Stops all threads and waits for them. Called once, after start().
    void stop();

private:
    friend class daemon_builder;
    struct implementation;
    explicit daemon_process(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> m_implementation;
};

class daemon_builder
{
public:
    /// Sets the values of the settings, already checked against
    /// daemon_schema().
    daemon_builder& values(settings const& checked_values);

    /// Sets the number of this run, which increases with every start of the
    /// same daemon.
    daemon_builder& incarnation(std::uint64_t number);

    /// \throws settings_error when a key file is unusable
    std::unique_ptr<daemon_process> build() const;

private:
    settings m_values;
    std::uint64_t m_incarnation = 0;
};

} // namespace gooseberrycove

#endif
