#ifndef GOOSEBERRYCOVE_PEER_RECEIVED_BODIES_HPP
#define GOOSEBERRYCOVE_PEER_RECEIVED_BODIES_HPP

#include <gooseberrycove/types.hpp>

#include <cstdint>
#include <unordered_map>
#include <utility>

namespace gooseberrycove::peer
{

using attempt_key = std::pair<request_id, std::uint32_t>;

struct attempt_key_hash
{
    std::size_t operator()(attempt_key const& key) const noexcept
    {
        return request_id_hash()(key.first) + key.second;
    }
};

/// Smaller bodies of work for this home are neither counted nor refused.
inline constexpr std::uint64_t counted_body_bytes = std::uint64_t{64} << 10;
/// A result may be sent this long after the deadline.
inline constexpr duration result_margin = std::chrono::seconds(10);

/// Bodies of the work that other daemons sent to this home and that has no
/// result yet.
struct received_bodies
{
    struct entry
    {
        std::uint64_t bytes = 0;
        time_point expires;
    };

    /// 0: no limit.
    std::uint64_t max_bytes = 0;
    std::uint64_t held_bytes = 0;
    std::unordered_map<attempt_key, entry, attempt_key_hash> bodies;
};

/// Counts the body of work that has arrived. Returns false when there is no
/// room beside the others; the work must then be refused as not run.
bool admit_body(received_bodies& state, attempt_key const& key,
                std::uint64_t bytes, time_point deadline, time_point now);

/// Frees the place of a body whose work has a result.
void release_body(received_bodies& state, attempt_key const& key);

} // namespace gooseberrycove::peer

#endif
