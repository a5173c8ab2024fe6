#ifndef GOOSEBERRYCOVE_MEMBERS_ROW_CLEANUP_HPP
#define GOOSEBERRYCOVE_MEMBERS_ROW_CLEANUP_HPP

#include "members/state.hpp"

namespace gooseberrycove::members
{

/// Reads a page of the withdrawal rows of all homes at times, to delete those
/// whose home has ended for good.
void run_row_cleanup(membership_state& state, time_point now, actions& out);

/// Deletes the rows of a scan that no next run of a home needs.
void delete_abandoned_rows(membership_state& state, store::reply const& reply,
                           time_point now, actions& out);

} // namespace gooseberrycove::members

#endif
