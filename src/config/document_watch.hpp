#ifndef GOOSEBERRYCOVE_CONFIG_DOCUMENT_WATCH_HPP
#define GOOSEBERRYCOVE_CONFIG_DOCUMENT_WATCH_HPP

#include "config/document.hpp"
#include "config/state.hpp"

namespace gooseberrycove::config
{

/// Reads and watches the document in the store, one call at a time. Only a read
/// for a version that a peer has reported is sent while a watch is open,
/// because the watch may be unresponsive.
void tick_document(state& duty, time_point now, actions& out);

/// Puts a version in force that parse_usable_entries() has read, and logs the
/// entries that cannot be used.
void replace_version(state& duty, parse_result&& parsed, actions& out);

/// Handles a peer's report of a version newer than the one in force.
void on_newer_version_reported(state& duty, std::uint64_t version,
                               time_point now);

void on_document_reply(state& duty, store::reply const& reply, time_point now,
                       actions& out);

} // namespace gooseberrycove::config

#endif
