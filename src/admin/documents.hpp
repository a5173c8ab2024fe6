#ifndef GOOSEBERRYCOVE_ADMIN_DOCUMENTS_HPP
#define GOOSEBERRYCOVE_ADMIN_DOCUMENTS_HPP

#include <gooseberrycove/config.hpp>
#include <gooseberrycove/http.hpp>
#include <gooseberrycove/members.hpp>
#include <gooseberrycove/routing.hpp>

#include <span>
#include <string>
#include <string_view>

namespace gooseberrycove::admin
{

/// JSON documents of the administration API.
http::response to_response(config::patch_result const& what);
http::response history_response(std::span<config::delta const> patches);
http::response servers_response(members::listing const& what);
http::response daemons_response(members::listing const& what);
http::response
services_response(std::span<routing::service_summary const> what);
http::response explain_response(routing::explanation const& what);
http::response refusal(error_kind kind, std::string_view detail);

/// Reads a backend server's announcement.
/// \param server  its name when that is not in the body; such an announcement
///                must also have its slots and state
/// \throws error of kind bad_request naming the member that is wrong
members::announcement read_announcement(std::string_view body,
                                        std::string_view server = {});

/// Reads the end of a backend server, which may tell its incarnation.
members::announcement read_withdrawal(std::string_view body,
                                      std::string_view server);

/// Reads the version in an If-Match header, `"N"` with or without quotes.
/// \throws error of kind bad_request
std::uint64_t read_version(std::string_view if_match);

} // namespace gooseberrycove::admin

#endif
