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

/// Responses of the administration API, with JSON bodies.
http::response to_response(config::patch_result const& result);
http::response history_response(std::span<config::delta const> patches);
http::response servers_response(members::listing const& directory);
http::response daemons_response(members::listing const& directory);
http::response
services_response(std::span<routing::service_summary const> summaries);
http::response explain_response(routing::explanation const& decision);
http::response problem_response(error_kind kind, std::string_view detail);

/// Reads a backend server's announcement from JSON.
/// \param server  name of the backend server from the path of the request.
///                When it is empty, the body must contain the name. When it is
///                not empty, the body must contain slots and state.
/// \throws error of kind bad_request that names the invalid member
members::announcement read_announcement(std::string_view body,
                                        std::string_view server = {});

/// Reads the withdrawal of the backend server \p server. A JSON body may
/// contain its incarnation; any other body is ignored.
/// \throws error of kind bad_request when the incarnation is invalid
members::announcement read_withdrawal(std::string_view body,
                                      std::string_view server);

/// Reads the version in an If-Match header, `N` with or without quotes.
/// \throws error of kind bad_request when \p if_match is anything else
std::uint64_t read_version(std::string_view if_match);

} // namespace gooseberrycove::admin

#endif
