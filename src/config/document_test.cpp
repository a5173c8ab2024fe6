#include "config/document.hpp"
#include "config/table_edit.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace gooseberrycove;
using namespace gooseberrycove::config;
using nlohmann::json;

namespace
{

constexpr std::string_view hash = "000102030405060708090a0b0c0d0e0f";

std::string const base_patch = fmt::format(
    R"({{"priorities":{{"high":{{"rank":1,"target_ms":50}},
                      "low":{{"rank":5,"target_ms":900,"worth":0.5}}}},
  "services":{{"a":{{"floor_slots":3,"priorities":
      {{"high":{{"min_share":0.3}},"low":{{"min_share":0.1}}}}}},
    "b":{{"floor_slots":0,"priorities":{{"low":{{}}}}}}}},
  "routes":{{"r":{{"service":"a","method":"GET","path":"/x/*",
    "priority":"high","repeatable":true,"timeout_ms":100}}}},
  "accounts":{{"kim":{{"key_hash":"{}","rate":0.1,"burst":2}}}}}})",
    hash);

std::shared_ptr<table_data const> base()
{
    parse_result const result = apply_patch(table_data{}, base_patch, 1);
    REQUIRE(result.data);
    return result.data;
}

/// `path: detail` of each error.
std::string errors_of(std::string_view patch)
{
    std::string text;
    for (patch_error const& error : apply_patch(*base(), patch, 2).errors)
        text += error.path + ": " + error.detail + "\n";
    return text;
}

std::shared_ptr<table_data const>
with_routes(std::vector<std::array<std::string, 3>> const& routes)
{
    json patch;
    for (auto const& [name, method, path] : routes)
        patch["routes"][name] = {{"service", "a"},     {"method", method},
                                 {"path", path},       {"priority", "high"},
                                 {"repeatable", true}, {"timeout_ms", 5}};
    parse_result const result = apply_patch(*base(), patch.dump(), 2);
    REQUIRE(result.data);
    return result.data;
}

std::string match(std::shared_ptr<table_data const> const& data,
                  std::string_view method, std::string_view path)
{
    auto const found = tables(data).match(method, "", path);
    return found ? std::string(found->name) : std::string();
}

} // namespace

TEST_CASE("every error of a patch is reported with its JSON pointer")
{
    struct test_case
    {
        std::string_view patch;
        std::string_view errors;
    };
    // Guards against accepting an invalid patch: each case was or could be
    // accepted by mistake.
    test_case const cases[] = {
        {"[", ": must be a JSON object\n"},
        {"[]", ": must be a JSON object\n"},
        {"{\"a\":\"\xff\"}", ": must be a JSON object\n"},
        {R"({"oddity":{}})",
         "/oddity: unknown, allowed: priorities services routes accounts\n"},
        {R"({"services":3})", "/services: must be an object\n"},
        {R"({"accounts":{"x/~y":{}}})",
         "/accounts/x~1~0y: name not allowed, allowed: 1 to 128 letters, "
         "digits and . _ @ -\n"},
        {R"({"accounts":{"x":7}})", "/accounts/x: must be an object\n"},
        {R"({"accounts":{"x":{}}})",
         "/accounts/x/key_hash: required, missing\n"},
        {R"({"accounts":{"kim":{"key_hash":"AB","burst":0.5}}})",
         "/accounts/kim/key_hash: allowed: 32 lower-case hexadecimal digits\n"
         "/accounts/kim/burst: must be at least 1 when rate is set\n"},
        {R"({"services":{"a":{"floor_slots":1.5,"speed":1}}})",
         "/services/a/speed: unknown, allowed: floor_slots floor_share "
         "priorities probe_path "
         "repeat_limit reserved_slots warmup_ms\n"
         "/services/a/floor_slots: allowed: an integer from 0 to 10000000\n"},
        {R"({"services":{"a":{"priorities":{"high":{"min_share":0.95}}}}})",
         "/services/a/priorities: the sum of min_share must not exceed 1\n"},
        {R"({"services":{"b":{"priorities":{"none":{}}}}})",
         "/services/b/priorities/none: no priority named 'none'\n"},
        {R"({"services":{"b":{"priorities":{"low":null}}}})",
         "/services/b/priorities: must be an object with a priority\n"},
        {R"({"services":{"a":null}})", "/services/a: route 'r' uses it\n"},
        {R"({"services":null})", "/services/a: route 'r' uses it\n"},
        {R"({"services":{"a":{"priorities":{"high":null}}}})",
         "/services/a/priorities/high: route 'r' uses it\n"},
        {R"({"priorities":{"low":null}})",
         "/priorities/low: service 'a' uses it\n"
         "/priorities/low: service 'b' uses it\n"},
        {R"({"priorities":{"mid":{"rank":5,"target_ms":0}}})",
         "/priorities/mid/target_ms: allowed: an integer from 1 to 3600000\n"},
        {R"({"priorities":{"mid":{"rank":5,"target_ms":1}}})",
         "/priorities/mid/rank: rank 5 is also used by priority 'low'\n"},
        {R"({"routes":{"r":{"service":"z","timeout_ms":0}}})",
         "/routes/r/timeout_ms: allowed: an integer from 1 to 3600000\n"},
        {R"({"routes":{"r":{"service":"z"}}})",
         "/routes/r/service: no service named 'z'\n"},
        {R"({"routes":{"r":{"service":"b"}}})",
         "/routes/r/priority: service 'b' does not accept this priority\n"},
        {R"({"routes":{"r":{"method":"get","path":"x*y"}}})",
         "/routes/r/method: allowed: * or up to 16 capital letters\n"
         "/routes/r/path: allowed: / and up to 1023 visible ASCII characters "
         "without ?, with * only at the end\n"},
        {R"({"routes":{"q":{"service":"a","method":"GET","path":"/x/*",
            "priority":"high","repeatable":true,"timeout_ms":1}}})",
         "/routes/q/path: route 'r' has the same method and path\n"},
        {R"({"routes":{"q":{}}})", "/routes/q/service: required, missing\n"
                                   "/routes/q/method: required, missing\n"
                                   "/routes/q/path: required, missing\n"
                                   "/routes/q/priority: required, missing\n"
                                   "/routes/q/timeout_ms: required, missing\n"
                                   "/routes/q/repeatable: required, missing\n"},
    };
    for (test_case const& test : cases)
    {
        INFO(test.patch);
        CHECK(errors_of(test.patch) == test.errors);
    }
}

TEST_CASE("the weights of a split may be fractions")
{
    // Guards against a configuration that never takes effect because one of its
    // routes is split by weights such as 0.9 and 0.1 (review/3).
    constexpr std::string_view document = R"({
        "priorities":{"p":{"rank":0,"target_ms":50}},
        "services":{"a":{"floor_slots":0,"priorities":{"p":{}}},
                    "b":{"floor_slots":0,"priorities":{"p":{}}}},
        "routes":{"r":{"split":{"a":0.9,"b":0.1},"method":"*","path":"/*",
            "priority":"p","repeatable":true,"timeout_ms":100}}})";
    parse_result const read = parse_document(document, 1);
    REQUIRE(read.data != nullptr);
    // The text that daemons send to each other keeps them.
    parse_result const again = parse_document(render_document(*read.data), 1);
    REQUIRE(again.data != nullptr);
    tables const in_force(again.data);
    auto const route = in_force.match("GET", "", "/x");
    REQUIRE(route.has_value());
    REQUIRE(route->split.size() == 2);
    CHECK(route->split[0].weight == 0.9);
    CHECK(route->split[1].weight == 0.1);
}

TEST_CASE("deep nesting is refused before it can exhaust the stack")
{
    std::string deep;
    for (int i = 0; i < 150'000; ++i)
        deep += "{\"a\":";
    CHECK(errors_of(deep) == ": nested too deeply\n");
    deep += "1" + std::string(150'000, '}');
    CHECK(errors_of(deep) == ": nested too deeply\n");
    CHECK(parse_document(deep, 1).data == nullptr);
}

TEST_CASE("a patch changes only the fields that it contains")
{
    // One field, a swap of ranks, and a route moved with its priority removed.
    auto next =
        apply_patch(*base(), R"({"services":{"a":{"floor_slots":9}}})", 2).data;
    REQUIRE(next);
    CHECK(find_service(*next, "a")->floor_slots == 9);
    CHECK(find_service(*next, "a")->shares[0].min_share == 0.3);
    next = apply_patch(*base(), R"({"priorities":{"low":{"rank":0}}})", 2).data;
    REQUIRE(next);
    CHECK(tables(next).priorities()[0].name == "low");
    CHECK(tables(next).match("GET", "", "/x/1")->priority == 1);
    next = apply_patch(*base(),
                       R"({"priorities":{"high":null},
        "services":{"a":{"priorities":{"high":null}}},
        "routes":{"r":{"priority":"low"}}})",
                       2)
               .data;
    REQUIRE(next);
    CHECK(tables(next).match("GET", "", "/x/1")->priority == 0);
}

TEST_CASE("the longest pattern takes precedence, then the exact method")
{
    auto const data = with_routes({{"all", "*", "/*"},
                                   {"x_exact", "GET", "/x/y"},
                                   {"x_any", "*", "/x/*"},
                                   {"deep", "POST", "/x/y/z*"},
                                   {"star", "GET", "/x/y*"}});
    CHECK(match(data, "GET", "/x/y") == "x_exact");
    CHECK(match(data, "PUT", "/x/y") == "x_any");
    CHECK(match(data, "GET", "/x/") == "r");
    CHECK(match(data, "GET", "/x/y1") == "star");
    CHECK(match(data, "POST", "/x/y/z") == "deep");
    CHECK(match(data, "GET", "/x/y/z") == "star");
    CHECK(match(data, "GET", "/x") == "all");
    CHECK(match(data, "GET", "x") == "");
    CHECK(match(base(), "GET", "/y") == "");
    auto const removed = apply_patch(*data, R"({"routes":null})", 3).data;
    CHECK(match(removed, "GET", "/x/y") == "");
}

TEST_CASE("a rendered document is read back unchanged")
{
    std::string const text = render_document(*base());
    parse_result const again = parse_document(text, 1);
    REQUIRE(again.data);
    CHECK(render_document(*again.data) == text);
    CHECK(json::parse(text)["accounts"]["kim"]["rate"] == 0.1);
    for (std::string_view bad :
         {"", "{", "[]", R"({"services":5})", R"({"services":{"a":5}})",
          R"({"odd":{}})", R"({"routes":{"r":{"service":"a","method":"GET",
             "path":"/","priority":"p","repeatable":true,"timeout_ms":1}}})"})
        CHECK(parse_document(bad, 1).data == nullptr);
}

TEST_CASE(
    "tables of the target size stay below 40 MB, and a patch copies one shard")
{
    // A daemon may use 64 MB for all control state. The tables must stay well
    // below that, because two versions and the other duties need memory too.
    table_edit edit;
    edit.data = *base();
    for (int i = 0; i < 540'000; ++i)
        edit.accounts.push_back(
            {"", account{fmt::format("account-{:08}", i), {}, 10, 20}});
    for (auto& entry : edit.accounts)
        entry.name = entry.value->name;
    for (int i = 0; i < 76'000; ++i)
    {
        std::string const name = fmt::format("route-{:06}", i);
        edit.routes.push_back(
            {name,
             route{name, "a", "GET",
                   fmt::format("/service-{:04}/item/{:06}/*", i % 2700, i), 0,
                   true, 500}});
    }
    flush(edit);
    CHECK(memory_bytes(edit.data) < 40'000'000);
    parse_result const next = apply_patch(
        edit.data, R"({"accounts":{"account-00000007":{"rate":1}}})", 2);
    REQUIRE(next.data);
    CHECK(tables(next.data).account("account-00000007")->rate == 1);
    std::size_t copied = 0;
    for (std::size_t i = 0; i < account_shards; ++i)
        copied += next.data->accounts[i] != edit.data.accounts[i];
    CHECK(copied == 1);
    CHECK(next.data->routes == edit.data.routes);
    CHECK(match(next.data, "GET", "/service-0001/item/002701/a") ==
          "route-002701");
}

TEST_CASE("an account is found by the hash of any of its keys")
{
    // Guards against a key that stays valid after a version takes it away, and
    // against one that an edit of its account loses.
    std::string const first(32, 'a');
    std::string const second(32, 'b');
    auto const data =
        apply_patch(*base(),
                    fmt::format(R"({{"accounts":{{"lee":{{"key_hashes":
                      ["{}","{}"],"tier":3}}}}}})",
                                first, second),
                    2)
            .data;
    REQUIRE(data);
    key_hash a{};
    key_hash b{};
    a.fill(0xaa);
    b.fill(0xbb);
    tables const both(data);
    REQUIRE(both.account_by_key(b));
    CHECK(both.account_by_key(a)->name == "lee");
    CHECK(both.account_by_key(b)->name == "lee");
    CHECK(both.account_by_key(b)->tier == 3);
    CHECK_FALSE(both.account_by_key(key_hash{}));
    std::string const text = render_document(*data);
    auto const again = parse_document(text, 2).data;
    REQUIRE(again);
    CHECK(render_document(*again) == text);
    auto const next = apply_patch(
        *data, R"({"accounts":{"lee":{"key_hashes":[")" + second + "\"]}}}", 3);
    REQUIRE(next.data);
    tables const one(next.data);
    CHECK_FALSE(one.account_by_key(a));
    CHECK(one.account_by_key(b)->name == "lee");
}

TEST_CASE("every key of an account with many keys is found")
{
    // Guards against callers with a valid key that are refused as unknown: the
    // 17th and later keys of an account were dropped.
    auto const hash_of_key = [](int number)
    { return hash_secret(fmt::format("key-{}", number)); };
    constexpr int key_count = 2000;
    std::string hashes;
    for (int i = 0; i < key_count; ++i)
        hashes += fmt::format("{}\"{}\"", i == 0 ? "" : ",",
                              to_string(hash_of_key(i)));
    std::string const text = fmt::format(
        R"({{"accounts":{{"a":{{"key_hashes":[{}]}},
                          "b":{{"key_hashes":["{}"]}}}}}})",
        hashes, to_string(hash_of_key(key_count)));
    parse_result const read = parse_usable_entries(text, 1);
    REQUIRE(read.data);
    CHECK(read.errors.empty());
    tables const in_force(read.data);
    for (int i = 0; i < key_count; ++i)
    {
        auto const found = in_force.account_by_key(hash_of_key(i));
        REQUIRE(found);
        REQUIRE(found->name == "a");
        REQUIRE(has_key(*found, hash_of_key(i)));
    }
}

TEST_CASE("an account with unusable fields keeps its usable keys")
{
    // Guards against callers that are refused as unknown because this daemon
    // cannot read a part of their account.
    std::string const key(32, 'c');
    std::string const text = fmt::format(
        R"({{"priorities":{{"p":{{"rank":0,"target_ms":5}}}},
          "services":{{"s":{{"floor_slots":0,"priorities":{{"p":{{}}}}}}}},
          "routes":{{"r":{{"service":"s","method":"*","path":"/*",
            "priority":"p","repeatable":true,"timeout_ms":9}}}},
          "accounts":{{"a":{{"key_hashes":["{0}",7],"rate":-2}},
                       "b":{{"key_hashes":[]}},
                       "c":{{"key_hashes":["{0}"]}}}}}})",
        key);
    parse_result const read = parse_usable_entries(text, 1);
    REQUIRE(read.data);
    key_hash hash{};
    hash.fill(0xcc);
    tables const in_force(read.data);
    CHECK(in_force.account_by_key(hash)->name == "a");
    CHECK(in_force.account_by_key(hash)->rate == 0);
    CHECK_FALSE(in_force.account("b"));
    std::string paths;
    for (patch_error const& failure : read.errors)
        paths += failure.path + " ";
    CHECK(paths == "/accounts/a/key_hashes /accounts/a/rate "
                   "/accounts/b/key_hashes /accounts/a/key_hashes "
                   "/accounts/c/key_hashes ");
}

TEST_CASE("the tier of an account replaces that of the route's priority")
{
    auto const data = apply_patch(table_data{}, R"({"priorities":{
          "a":{"rank":0,"target_ms":50,"tier":0},
          "b":{"rank":1,"target_ms":900,"tier":0},
          "c":{"rank":2,"target_ms":60,"tier":1}}})",
                                  1)
                          .data;
    REQUIRE(data);
    tables const in_force(data);
    route_view const slow{"r", "s", 1};
    CHECK(in_force.priority_for(slow, {"x", {}, 0, 0, 1}) == 2);
    CHECK(in_force.priority_for({"r", "s", 2}, {"x", {}, 0, 0, 0}) == 0);
    CHECK(in_force.priority_for(slow, {"x", {}, 0, 0, 7}) == 1);
    CHECK(in_force.priority_for(slow, {"x"}) == 1);
}
