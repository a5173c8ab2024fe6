#ifndef GOOSEBERRYCOVE_WIRE_CONVERT_HPP
#define GOOSEBERRYCOVE_WIRE_CONVERT_HPP

#include "peer_types.h"
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/types.hpp>

namespace gooseberrycove::wire
{

gen::Daemon to_gen(daemon_ref value);
daemon_ref from_gen(gen::Daemon const& in);

/// Sets the field of \p out for the type of \p content.
void to_thrift(peer::payload const& content, time_point now, gen::Message& out);

/// Returns the payload in the field that is set; monostate when none is set.
/// \throws error of kind bad_request when a value is outside its range
peer::payload from_thrift(gen::Message&& in, time_point now);

} // namespace gooseberrycove::wire

#endif
