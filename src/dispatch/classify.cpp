#include "classify.hpp"

#include <strings.h>

#include <charconv>

namespace gooseberrycove::dispatch
{

namespace
{

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view trim(std::string_view text)
{
    auto const first = text.find_first_not_of(" \t\r\n");
    if (first == text.npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

bool ends_in_chunked(std::string_view codings)
{
    constexpr std::string_view chunked = "chunked";
    return codings.size() >= chunked.size() &&
           equals_ignoring_case(codings.substr(codings.size() - chunked.size()),
                                chunked);
}

bool has_no_body(transfer_facts const& facts, answer_head const& head)
{
    return facts.head_request || head.status == 204 || head.status == 304;
}

} // namespace

void on_header_line(answer_head& head, std::string_view line)
{
    if (line.starts_with("HTTP/"))
    {
        head = answer_head{};
        auto const blank = line.find(' ');
        if (blank != line.npos)
            std::from_chars(line.data() + blank + 1, line.data() + line.size(),
                            head.status);
        return;
    }
    auto const colon = line.find(':');
    if (colon == line.npos)
        return;
    std::string_view const name = line.substr(0, colon);
    std::string_view const value = trim(line.substr(colon + 1));
    if (equals_ignoring_case(name, "Content-Length"))
        head.delimited = true;
    else if (equals_ignoring_case(name, "Transfer-Encoding"))
        head.delimited = head.delimited || ends_in_chunked(value);
    else if (equals_ignoring_case(name, "X-Outcome"))
        head.outcome_not_run = equals_ignoring_case(value, "not_run");
    else if (equals_ignoring_case(name, "Content-Type"))
        head.content_type = value;
}

result_class classify(transfer_facts const& facts, answer_head const& head)
{
    if (facts.cancelled)
        return result_class::cancelled;
    if (!facts.may_have_sent)
        return result_class::connect_failed;
    if (facts.end == transfer_end::timed_out)
        return result_class::timed_out;
    if (facts.end != transfer_end::complete)
        return result_class::cut;
    // An answer that ends with the connection may have been truncated.
    if (!head.delimited && !has_no_body(facts, head))
        return result_class::cut;
    if (head.status == 503 && head.outcome_not_run)
        return result_class::refused_not_run;
    return result_class::answered;
}

} // namespace gooseberrycove::dispatch
