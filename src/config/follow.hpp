#ifndef GOOSEBERRYCOVE_CONFIG_FOLLOW_HPP
#define GOOSEBERRYCOVE_CONFIG_FOLLOW_HPP

#include "config/state.hpp"

namespace gooseberrycove::config
{

/// Reads and watches the document in the store, one call at a time.
void tick_document(state& duty, time_point now, actions& out);

void on_document_reply(state& duty, store::reply const& got, time_point now,
                       actions& out);

} // namespace gooseberrycove::config

#endif
