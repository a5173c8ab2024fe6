#include <gooseberrycove/http.hpp>

namespace gooseberrycove::http
{

std::string_view bearer_token(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme))
        return {};
    return authorization.substr(scheme.size());
}

} // namespace gooseberrycove::http
