#ifndef GOOSEBERRYCOVE_WIRE_CONVERT_HPP
#define GOOSEBERRYCOVE_WIRE_CONVERT_HPP

#include "peer_types.h"
#include <gooseberrycove/peer.hpp>
#include <gooseberrycove/types.hpp>

namespace gooseberrycove::wire
{

/// Fills the field of \p out that carries \p what.
void to_thrift(peer::payload const& what, time_point now, gen::Message& out);

/// The payload of the one field that is set; monostate when none is.
/// \throws error of kind bad_request when a value is outside its range
peer::payload from_thrift(gen::Message const& in, time_point now);

} // namespace gooseberrycove::wire

#endif
