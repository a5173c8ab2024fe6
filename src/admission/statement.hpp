#ifndef GOOSEBERRYCOVE_ADMISSION_STATEMENT_HPP
#define GOOSEBERRYCOVE_ADMISSION_STATEMENT_HPP

#include "state.hpp"

namespace gooseberrycove::admission
{

/// Applies what the origin of the request knows of the server that it is for.
void apply_reported_statement(admission_state& state,
                              work_request const& request, time_point now,
                              actions& out);

/// Applies what the answer to a request that began at \p began says.
void apply_answer_statement(admission_state& state, homed_server_state& server,
                            dispatch::answer_statement const& answer,
                            time_point began, time_point now, actions& out);

} // namespace gooseberrycove::admission

#endif
