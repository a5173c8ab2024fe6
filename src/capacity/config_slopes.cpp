#include "config/document.hpp"
#include "slope.hpp"

#include <fmt/format.h>

namespace gooseberrycove::capacity
{

namespace
{

/// 32 hexadecimal digits.
std::string key_hash(int number)
{
    return fmt::format("{:016x}{:016x}", hash_name(std::to_string(number)),
                       static_cast<unsigned>(number));
}

std::string account_text(int number)
{
    return fmt::format(
        "\"account-{:06}\":{{\"key_hash\":\"{}\",\"rate\":100,\"burst\":200}}",
        number, key_hash(number));
}

std::string route_text(int number, int services)
{
    return fmt::format("\"route-{:05}\":{{\"service\":\"service-{:04}\","
                       "\"method\":\"GET\",\"path\":\"/area-{}/item-{}/*\","
                       "\"priority\":\"normal\",\"repeatable\":true,"
                       "\"timeout_ms\":2000}}",
                       number, number % services, number % 97, number);
}

std::string service_text(int number)
{
    return fmt::format("\"service-{:04}\":{{\"floor_slots\":60,\"priorities\":"
                       "{{\"normal\":{{\"min_share\":0.2}}}},"
                       "\"reserved_slots\":1,\"warmup_ms\":1000}}",
                       number);
}

template <class Text>
std::string entries(int count, Text text)
{
    std::string all;
    for (int i = 0; i < count; ++i)
        all += (i > 0 ? "," : "") + text(i);
    return all;
}

std::string document(int services, int routes, int accounts)
{
    int const known = std::max(services, 1);
    return "{\"priorities\":{\"normal\":{\"rank\":0,\"target_ms\":1000,"
           "\"worth\":1}},\"services\":{" +
           entries(known, service_text) + "},\"routes\":{" +
           entries(routes, [&](int i) { return route_text(i, known); }) +
           "},\"accounts\":{" + entries(accounts, account_text) + "}}";
}

std::shared_ptr<config::table_data const> parse(std::string const& text)
{
    config::parse_result made = config::parse_document(text, 1);
    if (!made.data)
        throw std::runtime_error("document: " + made.errors.front().path + " " +
                                 made.errors.front().detail);
    return made.data;
}

double bytes_of(int services, int routes, int accounts)
{
    std::string const text = document(services, routes, accounts);
    double const before = heap_bytes();
    auto const data = parse(text);
    return heap_bytes() - before;
}

} // namespace

std::vector<slope> config_slopes()
{
    std::vector<point> routes;
    std::vector<point> accounts;
    std::vector<point> services;
    for (int const size : {10'000, 38'000, 76'000})
        routes.push_back({double(size), bytes_of(100, size, 0)});
    for (int const size : {50'000, 200'000, 540'000})
        accounts.push_back({double(size), bytes_of(1, 0, size)});
    for (int const size : {300, 1'000, 2'700})
        services.push_back({double(size), bytes_of(size, 0, 0)});

    std::vector<point> patches;
    std::vector<point> lookups;
    std::vector<point> matches;
    std::vector<point> starts;
    std::vector<point> texts;
    for (int const size : {50'000, 200'000, 540'000})
    {
        std::string const text = document(100, size / 7, size);
        texts.push_back({double(size), double(text.size())});
        std::shared_ptr<config::table_data const> data;
        starts.push_back(
            {double(size),
             processor_us(1, 1, [&](int) { data = parse(text); })});
        config::tables const tables(data);
        std::uint64_t version = 1;
        patches.push_back(
            {double(size),
             processor_us(
                 5, 100,
                 [&](int i)
                 {
                     std::string const patch =
                         "{\"accounts\":{" + account_text(i) + "}}";
                     data = config::apply_patch(*data, patch, ++version).data;
                 })});
        lookups.push_back(
            {double(size),
             processor_us(5, 20'000,
                          [&](int i)
                          {
                              if (!tables.account(fmt::format(
                                      "account-{:06}", (i * 7919) % size)))
                                  throw std::runtime_error("account not found");
                          })});
        int const known = size / 7;
        matches.push_back(
            {double(known),
             processor_us(5, 20'000,
                          [&](int i)
                          {
                              int const number = (i * 7919) % known;
                              if (!tables.match(
                                      "GET", "",
                                      fmt::format("/area-{}/item-{}/x",
                                                  number % 97, number)))
                                  throw std::runtime_error("route not found");
                          })});
    }
    return {fit("route in the packed tables", "bytes", "route", routes),
            fit("account in the packed tables", "bytes", "account", accounts),
            fit("service in the packed tables", "bytes", "service", services),
            fit("document as JSON text (1 route per 7 accounts)", "bytes",
                "account", texts),
            fit("reading a whole document", "us", "account", starts),
            fit("patch of one account", "us", "account held", patches),
            fit("look-up of an account", "us", "account held", lookups),
            fit("match of a route", "us", "route held", matches)};
}

} // namespace gooseberrycove::capacity
