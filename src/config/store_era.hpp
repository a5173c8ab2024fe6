#ifndef GOOSEBERRYCOVE_CONFIG_STORE_ERA_HPP
#define GOOSEBERRYCOVE_CONFIG_STORE_ERA_HPP

#include "config/state.hpp"

namespace gooseberrycove::config
{

/// Discards what was read from the store before it was restored from a copy.
/// The version in force stays.
void on_new_store_era(state& duty, time_point now, actions& out);

/// Writes the patches that the store lost from the history of this daemon.
/// Called after the head was read.
void restore_patches(state& duty, time_point now, actions& out);

void on_restore_reply(state& duty, store::reply const& reply, time_point now);

} // namespace gooseberrycove::config

#endif
