#include "statement.hpp"

#include "refuse.hpp"

namespace gooseberrycove::admission
{

namespace
{

/// \param source  who said it: the server or another daemon
void on_statement_changed(admission_state& state, homed_server_state& server,
                          std::string_view source, time_point now, actions& out)
{
    server_statement const& statement = server.stated_limit.statement;
    out.log.push_back(event_line(event::server_stated)
                          .field("server", server.name)
                          .field("service", server.service)
                          .field("limit", statement.rate_limit)
                          .field("leaving", statement.is_leaving ? 1 : 0)
                          .field("source", source));
    // Reported at once, so that members publishes that the server leaves.
    server.has_unreported_load = true;
    server.load_reported_at = {};
    if (statement.is_leaving)
        refuse_unservable(state, state.services.at(server.service),
                          error_kind::draining, "server_draining", now, out);
}

} // namespace

void apply_reported_statement(admission_state& state,
                              work_request const& request, time_point now,
                              actions& out)
{
    auto const found = state.servers.find(request.server);
    if (found != state.servers.end() &&
        on_reported_statement(found->second.stated_limit, request.statement,
                              found->second.incarnation, now))
        on_statement_changed(state, found->second, "daemon", now, out);
}

void apply_answer_statement(admission_state& state, homed_server_state& server,
                            dispatch::answer_statement const& answer,
                            time_point began, time_point now, actions& out)
{
    out.malformed_statements += answer.is_malformed ? 1 : 0;
    if (server.state != members::server_state::gone &&
        on_answer(server.stated_limit, answer, server.incarnation, began, now))
        on_statement_changed(state, server, "server", now, out);
}

} // namespace gooseberrycove::admission
