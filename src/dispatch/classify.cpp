#include "classify.hpp"

#include <gooseberrycove/status.hpp>

#include <charconv>
#include <cmath>

namespace gooseberrycove::dispatch
{

namespace
{

/// Responses with a lower status are interim.
constexpr int first_final_status = 200;

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t\r\n");
    if (first == text.npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool ends_with_chunked(std::string_view codings)
{
    constexpr std::string_view chunked = "chunked";
    return codings.size() >= chunked.size() &&
           is_same_header(codings.substr(codings.size() - chunked.size()),
                          chunked);
}

/// Sets the limit that a header names. A second header, or a value that is no
/// finite number from 0 on, makes the statement malformed.
void read_rate_limit(answer_statement& statement, std::string_view value)
{
    double limit = 0;
    char const* const end = value.data() + value.size();
    auto const parsed = std::from_chars(value.data(), end, limit);
    if (statement.rate_limit || parsed.ec != std::errc() || parsed.ptr != end ||
        !std::isfinite(limit) || limit < 0)
        statement.is_malformed = true;
    else
        statement.rate_limit = limit;
}

/// Reads `running,waiting,slots`, each a non-negative integer.
std::optional<server_load> parse_load(std::string_view value)
{
    server_load load;
    char const* at = value.data();
    char const* const end = value.data() + value.size();
    for (std::uint32_t* const field :
         {&load.running, &load.waiting, &load.slots})
    {
        bool const is_last = field == &load.slots;
        auto const parsed = std::from_chars(at, end, *field);
        if (parsed.ec != std::errc() || is_last != (parsed.ptr == end) ||
            (!is_last && *parsed.ptr != ','))
            return std::nullopt;
        at = is_last ? end : parsed.ptr + 1;
    }
    return load;
}

void read_load(answer_statement& statement, std::string_view value)
{
    auto const load = parse_load(value);
    if (statement.load || !load)
        statement.is_malformed = true;
    else
        statement.load = load;
}

void read_leaving(response_head& head, std::string_view value)
{
    if (head.has_leaving_header || (value != "0" && value != "1"))
        head.statement.is_malformed = true;
    head.has_leaving_header = true;
    head.statement.is_leaving = value == "1";
}

/// The product's own header counts only where the servers have no other: a
/// server may pass on the answer that a daemon gave to a call of its own.
bool states_not_run(header_names const& names, std::string_view name,
                    std::string_view value)
{
    if (!names.not_run.empty())
        return is_same_header(name, names.not_run);
    return is_same_header(name, "X-Outcome") &&
           is_same_header(value, "not_run");
}

void read_request_id(response_head& head, std::string_view value)
{
    if (!head.request_id.empty() && head.request_id != value)
        head.has_other_request_id = true;
    head.request_id = value;
}

/// Whether a status line begins inside \p line. Bytes that a server writes
/// after a response may end inside a head; the next response then continues
/// the line.
bool has_inner_status_line(std::string_view line)
{
    constexpr std::string_view start = "HTTP/1.";
    constexpr std::size_t status_at = start.size() + 2;
    for (auto at = line.find(start, 1); at != line.npos;
         at = line.find(start, at + 1))
    {
        std::string_view const rest = line.substr(at);
        if (rest.size() > status_at && rest[status_at - 1] == ' ' &&
            rest[status_at] >= '1' && rest[status_at] <= '5')
            return true;
    }
    return false;
}

bool has_no_body(transfer_summary const& summary, response_head const& head)
{
    return summary.is_head_request || head.status == 204 || head.status == 304;
}

} // namespace

void apply_header_line(response_head& head, header_names const& names,
                       std::string_view line)
{
    if (head.is_complete)
        return;
    bool const is_joined = head.is_joined || has_inner_status_line(line);
    head.is_joined = is_joined;
    if (line.starts_with("HTTP/"))
    {
        head = response_head{};
        head.is_joined = is_joined;
        auto const blank = line.find(' ');
        if (blank != line.npos)
            std::from_chars(line.data() + blank + 1, line.data() + line.size(),
                            head.status);
        return;
    }
    if (trim(line).empty())
        head.is_complete = head.status >= first_final_status;
    auto const colon = line.find(':');
    if (colon == line.npos)
        return;
    std::string_view const name = line.substr(0, colon);
    std::string_view const value = trim(line.substr(colon + 1));
    head.headers.push_back({std::string(name), std::string(value)});
    if (is_same_header(name, "Content-Length"))
        head.is_delimited = true;
    else if (is_same_header(name, "Transfer-Encoding"))
        head.is_delimited = head.is_delimited || ends_with_chunked(value);
    else if (states_not_run(names, name, value))
        head.states_not_run = true;
    else if (!names.server_name.empty() &&
             is_same_header(name, names.server_name))
        head.server_name = value;
    else if (!names.server_stamp.empty() &&
             is_same_header(name, names.server_stamp))
        head.has_stamp = !value.empty();
    else if (!names.server_limit.empty() &&
             is_same_header(name, names.server_limit))
        read_rate_limit(head.statement, value);
    else if (!names.server_leaving.empty() &&
             is_same_header(name, names.server_leaving))
        read_leaving(head, value);
    else if (!names.server_load.empty() &&
             is_same_header(name, names.server_load))
        read_load(head.statement, value);
    else if (is_same_header(name, names.request_id))
        read_request_id(head, value);
    else if (is_same_header(name, "Content-Type"))
        head.content_type = value;
}

std::string_view to_string(attribution found)
{
    switch (found)
    {
    case attribution::by_id:
        return "id";
    case attribution::by_connection:
        return "connection";
    case attribution::other_id:
        return "other_id";
    case attribution::joined:
        return "joined";
    case attribution::unidentified:
        return "unidentified";
    case attribution::unstamped_success:
        return "unstamped_success";
    }
    return "unidentified";
}

bool is_attributed(attribution found)
{
    return found == attribution::by_id || found == attribution::by_connection;
}

attribution attribute(response_head const& head, sent_request const& sent)
{
    bool const is_success = head.status >= 200 && head.status < 300;
    if (head.is_joined)
        return attribution::joined;
    if (head.has_other_request_id)
        return attribution::other_id;
    if (!head.request_id.empty() && !sent.request_id.empty() &&
        head.request_id != sent.request_id)
        return attribution::other_id;
    if (is_success && sent.expects_stamp && !head.has_stamp)
        return attribution::unstamped_success;
    if (!head.request_id.empty() && !sent.request_id.empty())
        return attribution::by_id;
    return sent.earlier_requests == 0 ? attribution::by_connection
                                      : attribution::unidentified;
}

result_class classify(transfer_summary const& summary,
                      response_head const& head)
{
    if (summary.is_cancelled)
        return result_class::cancelled;
    if (!summary.may_have_sent)
        return result_class::connect_failed;
    if (summary.end == transfer_end::timed_out)
        return result_class::timed_out;
    if (summary.end != transfer_end::complete)
        return result_class::cut;
    if (!summary.response_attribution ||
        !is_attributed(*summary.response_attribution))
        return result_class::cut;
    if (!is_final_status(head.status))
        return result_class::cut;
    bool const is_misdirected = head.status == misdirected_status;
    if (is_misdirected || (head.status >= 400 && head.states_not_run))
    {
        // A server may write a bare refusal before the response to a request
        // that it runs.
        bool const is_proved =
            !summary.has_request_id ||
            summary.response_attribution == attribution::by_id;
        return is_proved ? result_class::refused_not_run : result_class::cut;
    }
    // A response that ends with the connection may have been truncated.
    if (!head.is_delimited && !has_no_body(summary, head) &&
        !summary.accepts_undelimited)
        return result_class::cut;
    return result_class::answered;
}

} // namespace gooseberrycove::dispatch
