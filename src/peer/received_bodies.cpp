#include "received_bodies.hpp"

namespace gooseberrycove::peer
{

namespace
{

/// Cancelled work has no result, so its place is freed by time.
void remove_expired(received_bodies& state, time_point now)
{
    std::erase_if(state.bodies,
                  [&](auto const& item)
                  {
                      if (item.second.expires > now)
                          return false;
                      state.held_bytes -= item.second.bytes;
                      return true;
                  });
}

} // namespace

bool admit_body(received_bodies& state, attempt_key const& key,
                std::uint64_t bytes, time_point deadline, time_point now)
{
    if (state.max_bytes == 0 || bytes <= counted_body_bytes)
        return true;
    remove_expired(state, now);
    if (state.bodies.contains(key))
        return true;
    if (state.held_bytes > 0 && state.held_bytes + bytes > state.max_bytes)
        return false;
    state.bodies[key] = {bytes, deadline + result_margin};
    state.held_bytes += bytes;
    return true;
}

void release_body(received_bodies& state, attempt_key const& key)
{
    auto const removed = state.bodies.extract(key);
    if (!removed.empty())
        state.held_bytes -= removed.mapped().bytes;
}

} // namespace gooseberrycove::peer
