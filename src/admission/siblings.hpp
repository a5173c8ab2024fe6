#ifndef GOOSEBERRYCOVE_ADMISSION_SIBLINGS_HPP
#define GOOSEBERRYCOVE_ADMISSION_SIBLINGS_HPP

#include <gooseberrycove/members.hpp>
#include <gooseberrycove/work.hpp>

namespace gooseberrycove::admission
{

/// The servers of other homes with the most free slots, the first one with the
/// most; at most \p count. Servers that are not healthy, have no free slot or
/// whose load was not reported within 2 s are left out.
std::vector<sibling_load> find_spare_siblings(members::service_view const& view,
                                              daemon_ref own_daemon,
                                              std::size_t count,
                                              time_point now);

} // namespace gooseberrycove::admission

#endif
