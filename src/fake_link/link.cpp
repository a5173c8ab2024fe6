#include "fake_link/link.hpp"

#include <gooseberrycove/settings.hpp>

#include <algorithm>
#include <sstream>

namespace gooseberrycove::fake_link
{

namespace
{

bool is_known(state const& link, std::string_view name)
{
    return std::ranges::any_of(link.nodes, [&](node const& item)
                               { return item.name == name; });
}

node parse_node(std::string const& part)
{
    auto const equals = part.find('=');
    auto const arrow = part.find('>');
    node out;
    if (equals != part.npos && arrow != part.npos && equals < arrow)
    {
        out.name = part.substr(0, equals);
        out.advertised = part.substr(equals + 1, arrow - equals - 1);
        out.bound = part.substr(arrow + 1);
    }
    if (out.name.empty() || !is_address(out.advertised) ||
        !is_address(out.bound))
        throw settings_error(part + ": allowed: name=ip:port>ip:port");
    return out;
}

} // namespace

std::vector<node> parse_links(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::vector<node> out;
    for (std::string part; in >> part;)
        out.push_back(parse_node(part));
    return out;
}

std::string_view sender_of(state const& link, std::string_view ip)
{
    for (node const& item : link.nodes)
    {
        if (split_address(item.bound).first == ip)
            return item.name;
    }
    return {};
}

bool is_cut(state const& link, std::string_view from, std::string_view to)
{
    return link.cuts.contains({std::string(from), std::string(to)});
}

std::string on_command(state& link, std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string verb, from, to;
    in >> verb >> from >> to;
    if (verb == "heal_all")
    {
        link.cuts.clear();
        return "ok";
    }
    if (verb != "cut" && verb != "heal")
        return "allowed: cut FROM TO, heal FROM TO, heal_all";
    if (!is_known(link, from) || !is_known(link, to))
        return "allowed: names of two daemons";
    if (verb == "cut")
        link.cuts.emplace(from, to);
    else
        link.cuts.erase({from, to});
    return "ok";
}

} // namespace gooseberrycove::fake_link
