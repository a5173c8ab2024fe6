#ifndef GOOSEBERRYCOVE_FAKE_PLATFORM_PLATFORM_HPP
#define GOOSEBERRYCOVE_FAKE_PLATFORM_PLATFORM_HPP

#include <gooseberrycove/store.hpp>
#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrycove::fake_platform
{

enum class mode
{
    up,
    down, ///< every call gets status 503
    slow  ///< every call takes slow_time
};

/// Active faults; POST /faults replaces those that it names.
struct faults
{
    gooseberrycove::fake_platform::mode mode = mode::up;
    duration slow_time{0};
    /// Probability that the reply to a call is lost after it took effect.
    double lose_reply = 0;
    /// Values of X-Client whose calls do not arrive.
    std::vector<std::string> cut_requests;
    /// Values of X-Client whose calls take effect but get no reply.
    std::vector<std::string> cut_replies;
};

/// Longest age of the copy from which the store can be restored.
inline constexpr duration max_copy_age = std::chrono::seconds(30);

/// Token bucket that holds the tokens of one second at most.
struct rate_limit
{
    double per_second = 0;
    double tokens = 0;
    time_point refilled;
};

struct counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t over_rate = 0;
    std::uint64_t refused_down = 0;
    std::uint64_t cut_requests = 0;
    std::uint64_t lost_replies = 0;
};

struct stored_value
{
    std::uint64_t version = 0;
    std::string value;
};

/// Undoes the change of one row or object.
struct undo_entry
{
    time_point written_at;
    std::string client;
    std::string key;
    bool is_object = false;
    /// Earlier content; nothing when the key was absent.
    std::optional<stored_value> earlier;
    std::uint64_t earlier_version = 0;
};

struct state
{
    std::map<std::string, stored_value, std::less<>> rows;
    std::map<std::string, std::string, std::less<>> objects;
    /// Version of the last write. One counter for all keys, so that the
    /// version of a key also rises over a deletion of its row.
    std::uint64_t last_version = 0;
    /// Increases each time the store is restored from a copy.
    std::uint64_t era = 1;
    /// Changes within max_copy_age, oldest first.
    std::deque<undo_entry> undo_log;
    /// Time of the last call, at which its changes count as written.
    time_point last_call_at;
    gooseberrycove::fake_platform::faults faults;
    rate_limit reads;
    rate_limit writes;
    counters call_counts;
    std::uint64_t random_state = 1;
};

state make_state(double reads_per_s, double writes_per_s, std::uint64_t seed,
                 time_point now);

/// Decision on a call before its operation runs, and the faults of its reply.
struct admission
{
    enum class decision
    {
        run,
        drop,      ///< as if the call had not arrived: no response
        over_rate, ///< 429
        down       ///< 503
    };
    decision result = decision::run;
    /// The operation runs, but its reply is not sent.
    bool lose_reply = false;
    /// Time that the call takes; half of it passes before its effect.
    duration delay{0};
};

/// Applies the faults and the rate limits to a call of \p client.
admission on_call(state& platform, std::string_view client,
                  bool counts_as_write, time_point now);

/// Runs the operation. reply::result is never refused or unknown.
/// \param client  who made the call; changes of `operator` survive a restore
store::reply on_operation(state& platform, store::operation const& operation,
                          std::string_view client = {});

/// Restores the store from a copy of the given age: undoes later changes, lets
/// versions be assigned again, and then writes again what the client
/// `operator` had written.
void restore_from_copy(state& platform, duration age, time_point now);

/// Whether the operation counts against writes_per_s.
bool is_write(store::operation const& operation);

} // namespace gooseberrycove::fake_platform

#endif
