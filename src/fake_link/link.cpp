#include "fake_link/link.hpp"

#include <gooseberrycove/settings.hpp>

#include <algorithm>
#include <sstream>

namespace gooseberrycove::fake_link
{

namespace
{

bool is_node_name(state const& link, std::string_view name)
{
    return std::ranges::any_of(link.nodes, [&](node const& item)
                               { return item.name == name; });
}

node parse_node(std::string const& part)
{
    auto const equals = part.find('=');
    auto const arrow = part.find('>');
    node parsed;
    if (equals != part.npos && arrow != part.npos && equals < arrow)
    {
        parsed.name = part.substr(0, equals);
        parsed.advertised = part.substr(equals + 1, arrow - equals - 1);
        parsed.bound = part.substr(arrow + 1);
    }
    if (parsed.name.empty() || !is_address(parsed.advertised) ||
        !is_address(parsed.bound))
        throw settings_error(part + ": allowed: name=ip:port>ip:port");
    return parsed;
}

} // namespace

std::vector<node> parse_links(std::string_view text)
{
    std::istringstream in{std::string(text)};
    std::vector<node> nodes;
    for (std::string part; in >> part;)
        nodes.push_back(parse_node(part));
    return nodes;
}

std::string_view sender_name(state const& link, std::string_view ip)
{
    for (node const& item : link.nodes)
    {
        if (split_address(item.bound).first == ip)
            return item.name;
    }
    return {};
}

bool is_blocked(state const& link, std::string_view sender,
                std::string_view receiver)
{
    return link.blocked_directions.contains(
        {std::string(sender), std::string(receiver)});
}

std::string on_command(state& link, std::string_view line)
{
    std::istringstream in{std::string(line)};
    std::string action, sender, receiver;
    in >> action >> sender >> receiver;
    if (action == "heal_all")
    {
        link.blocked_directions.clear();
        return "ok";
    }
    if (action != "cut" && action != "heal")
        return "allowed: cut FROM TO, heal FROM TO, heal_all";
    if (!is_node_name(link, sender) || !is_node_name(link, receiver))
        return "allowed: names of two daemons";
    if (action == "cut")
        link.blocked_directions.emplace(sender, receiver);
    else
        link.blocked_directions.erase({sender, receiver});
    return "ok";
}

} // namespace gooseberrycove::fake_link
