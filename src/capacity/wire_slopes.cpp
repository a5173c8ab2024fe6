#include "slope.hpp"
#include <gooseberrycove/wire.hpp>

namespace gooseberrycove::capacity
{

namespace
{

time_point const start{std::chrono::hours(1)};
std::vector<std::string> const keys{"0123456789abcdef0123456789abcdef"};

work_request make_work(int body)
{
    work_request made;
    made.id = {1, 2};
    made.account = "account-000001";
    made.service = "service-0001";
    made.route = "route-00001";
    made.method = "POST";
    made.target = "/area-1/item-1/x";
    made.content_type = "application/json";
    made.body = std::string(static_cast<std::size_t>(body), 'b');
    made.server = "server-000001";
    made.deadline = start + std::chrono::seconds(2);
    made.received = start;
    made.origin_address = "10.0.0.1:7300";
    return made;
}

double frame_bytes(peer::payload const& what)
{
    return double(wire::encode(keys.front(), {1, 1}, what, start).size());
}

double encode_us(peer::payload const& what)
{
    return processor_us(5, 2'000,
                        [&](int) {
                            wire::encode(keys.front(), {1, 1}, what, start);
                        });
}

double decode_us(peer::payload const& what)
{
    std::string const frame = wire::encode(keys.front(), {1, 1}, what, start);
    return processor_us(5, 2'000,
                        [&](int) { wire::decode(frame, keys, start); });
}

} // namespace

std::vector<slope> wire_slopes()
{
    std::vector<point> bytes;
    std::vector<point> encodes;
    std::vector<point> decodes;
    for (int const size : {0, 1'000, 10'000, 100'000})
    {
        bytes.push_back({double(size), frame_bytes(make_work(size))});
        encodes.push_back({double(size), encode_us(make_work(size))});
        decodes.push_back({double(size), decode_us(make_work(size))});
    }
    config::deltas one;
    one.sender_address = "10.0.0.1:7300";
    one.entries.push_back(
        {100, std::string(32, 'a'), "operator", std::string(150, 'p')});
    return {fit("work frame", "bytes", "byte of body", bytes),
            fit("encoding a work frame", "us", "byte of body", encodes),
            fit("decoding a work frame", "us", "byte of body", decodes),
            constant("frame with one configuration delta of 150 bytes", "bytes",
                     {frame_bytes(one)}),
            constant("pull of configuration deltas", "bytes",
                     {frame_bytes(config::pull{"10.0.0.1:7300", 100})})};
}

} // namespace gooseberrycove::capacity
