#include "config/document.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

// Generated patches with a fixed seed, so that each run checks the same ones.

using namespace gooseberrycove;
using namespace gooseberrycove::config;
using nlohmann::json;

namespace
{

constexpr int patch_count = 20'000;

using generator = std::mt19937_64;

std::size_t draw(generator& random, std::size_t count)
{
    return random() % count;
}

template <class Value, std::size_t Count>
Value const& pick(generator& random, Value const (&values)[Count])
{
    return values[draw(random, Count)];
}

/// Mostly valid values, some of a wrong type or size.
json any_value(generator& random)
{
    static json const values[] = {nullptr,
                                  true,
                                  -1,
                                  0,
                                  1,
                                  2,
                                  0.25,
                                  1e300,
                                  "",
                                  "a",
                                  "p0",
                                  "/x",
                                  "/x/*",
                                  "GET",
                                  "00000000000000000000000000000000",
                                  json::object(),
                                  json::array(),
                                  json{{"min_share", 0.5}},
                                  18446744073709551615u};
    return pick(random, values);
}

json random_entry(generator& random, std::string_view section)
{
    static char const* const service_names[] = {"s0", "s1", "s2"};
    static char const* const priority_names[] = {"p0", "p1", "p2"};
    static char const* const paths[] = {"/", "/*", "/x", "/x/*", "/x/y"};
    static char const* const methods[] = {"GET", "*", "POST"};
    json entry;
    if (section == "priorities")
        entry = {{"rank", draw(random, 4)}, {"target_ms", 10}};
    if (section == "services")
        entry = {{"floor_slots", draw(random, 9)},
                 {"priorities",
                  {{pick(random, priority_names), {{"min_share", 0.5}}},
                   {pick(random, priority_names), json::object()}}}};
    if (section == "routes")
        entry = {{"service", pick(random, service_names)},
                 {"method", pick(random, methods)},
                 {"path", pick(random, paths)},
                 {"priority", pick(random, priority_names)},
                 {"repeatable", draw(random, 2) == 0},
                 {"timeout_ms", 100}};
    if (section == "accounts")
        entry = {{"key_hash", "00112233445566778899aabbccddeeff"},
                 {"rate", 0.1},
                 {"burst", 1}};
    return entry;
}

/// Replaces or removes one field, and sometimes adds an unknown one.
void mutate_entry(generator& random, json& entry)
{
    if (!entry.is_object() || entry.empty())
        return;
    auto field = entry.begin();
    std::advance(field,
                 static_cast<std::ptrdiff_t>(draw(random, entry.size())));
    if (draw(random, 2) == 0)
        entry.erase(field);
    else
        *field = any_value(random);
    if (draw(random, 10) == 0)
        entry["odd~/"] = any_value(random);
}

json random_patch(generator& random)
{
    static char const* const section_names[] = {"priorities", "services",
                                                "routes", "accounts"};
    static char const* const prefixes[] = {"p", "s", "r", "a"};
    json patch = json::object();
    for (std::size_t count = 1 + draw(random, 3); count > 0; --count)
    {
        std::size_t const chosen = draw(random, 4);
        std::string const name =
            prefixes[chosen] + std::to_string(draw(random, 3));
        json entry = random_entry(random, section_names[chosen]);
        if (draw(random, 3) == 0)
            mutate_entry(random, entry);
        if (draw(random, 12) == 0)
            entry = any_value(random);
        if (draw(random, 100) == 0)
            patch[section_names[chosen]] = any_value(random);
        else if (!patch.contains(section_names[chosen]) ||
                 patch[section_names[chosen]].is_object())
            patch[section_names[chosen]][name] = entry;
    }
    return patch;
}

/// Overwrites up to three bytes of the text.
void corrupt_text(generator& random, std::string& text)
{
    for (std::size_t count = draw(random, 4); count > 0; --count)
        text[draw(random, text.size())] = static_cast<char>(random());
}

/// Drops sections that a merge emptied or removed, then fills in the defaults.
std::string normal_form(json const& document)
{
    parse_result const read = parse_document(document.dump(), 1);
    REQUIRE(read.data);
    return render_document(*read.data);
}

} // namespace

TEST_CASE(
    "an accepted patch gives the result of RFC 7386, a refused one has errors")
{
    generator random(20260804);
    auto current = std::make_shared<table_data const>();
    int accepted = 0;
    for (int i = 0; i < patch_count; ++i)
    {
        std::string text = random_patch(random).dump();
        if (draw(random, 5) == 0)
            corrupt_text(random, text);
        INFO(i << ": " << text);
        parse_result const result =
            apply_patch(*current, text, current->version + 1);
        REQUIRE(result.errors.empty() == (result.data != nullptr));
        if (!result.data)
            continue;
        ++accepted;
        json expected = json::parse(render_document(*current));
        expected.merge_patch(json::parse(text));
        REQUIRE(render_document(*result.data) == normal_form(expected));
        current = result.data;
    }
    // The generator must produce both accepted and refused patches.
    CHECK(accepted > patch_count / 20);
    CHECK(accepted < patch_count * 19 / 20);
}
