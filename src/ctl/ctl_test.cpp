#include "ctl/command.hpp"
#include "ctl/render.hpp"

#include <catch2/catch.hpp>

using namespace gooseberrycove::ctl;
using nlohmann::json;

namespace
{

command parse(std::vector<std::string> const& words)
{
    return parse_command(words);
}

command_output render(verb action, int status, std::string body,
                      bool as_json = false)
{
    options flags;
    flags.base_version = 3;
    flags.patch_id = "id";
    return render_response({action, {"x"}}, flags,
                           {status, "7", std::move(body)}, R"({"a":1})",
                           as_json);
}

} // namespace

TEST_CASE("unknown commands and wrong numbers of arguments are refused")
{
    for (auto const& words :
         std::vector<std::vector<std::string>>{{},
                                               {"config"},
                                               {"config", "set"},
                                               {"drain"},
                                               {"services", "x"},
                                               {"explain", "GET"}})
        CHECK_THROWS_AS(parse(words), usage_error);
    CHECK(parse({"explain", "GET", "/", "kim"}).arguments.size() == 3);
    // A patch without a base version would be merged into whichever
    // document is in force.
    CHECK_THROWS_AS(build_request(parse({"config", "patch", "f"}), {}, "{}"),
                    usage_error);
}

TEST_CASE("server names and explained paths are percent-encoded in requests")
{
    CHECK(build_request(parse({"drain", "a/b c"}), {}, "").target ==
          "/servers/a%2Fb%20c/drain");
    CHECK(build_request(parse({"explain", "GET", "/x?y=1&z"}), {}, "").target ==
          "/explain?method=GET&path=%2Fx%3Fy%3D1%26z");
    options flags;
    flags.base_version = 12;
    auto const request =
        build_request(parse({"config", "patch", "f"}), flags, "{}");
    CHECK(request.headers.at("If-Match") == "\"12\"");
}

TEST_CASE(
    "a stale patch reports the version in force and the patches since its base")
{
    command_output const output = render(
        verb::config_patch, 412,
        R"({"version":5,"since":[{"version":4,"patch_id":"p4","author":"kim",
            "patch":{"services":null}}]})");
    CHECK(output.code == exit_stale);
    CHECK(output.errors ==
          "stale: version 5 is in force, the patch is based on version 3\n"
          "patches since:\n"
          "version  patch_id  author  patch\n"
          "4        p4        kim     {\"services\":null}\n");
}

TEST_CASE("refusals exit with 1 and print the reason")
{
    command_output output = render(
        verb::config_patch, 422, R"({"faults":[{"path":"/a","what":"bad"}]})");
    CHECK(output.code == exit_refused);
    CHECK(output.errors == "the patch was refused:\n  /a: bad\n");
    output = render(verb::config_patch, 500,
                    R"({"kind":"internal","outcome":"unknown","detail":"d"})");
    CHECK(output.code == exit_refused);
    CHECK(output.errors.find("--patch_id=id") != std::string::npos);
    CHECK(render(verb::services, 401, "no JSON").code == exit_refused);
    CHECK(render(verb::services, 200, "no JSON").code == exit_refused);
    CHECK(render(verb::services, 200, "{}").code == exit_refused);
    CHECK(render(verb::drain, 404, "", true).code == exit_refused);
    CHECK(render(verb::drain, 200, "").code == exit_ok);
}

TEST_CASE("config watch continues after the newest version that it printed")
{
    // Guards against a wrong start version, which prints patches twice or skips
    // them.
    std::string const body = R"({"patches":[{"version":8},{"version":9}]})";
    CHECK(newest_version({200, "", body}, 7) == 9);
    CHECK(newest_version({200, "", R"({"patches":[]})"}, 7) == 7);
    CHECK(newest_version({200, "", "no JSON"}, 7) == 7);
}

TEST_CASE("tables have one row for each entry and a dash for an absent member")
{
    command_output const output =
        render(verb::services, 200,
               R"({"services":[{"service":"orders","floor_slots":3,
                   "healthy_slots":36,"servers":9}]})");
    CHECK(output.text ==
          "service  floor_slots  healthy_slots  servers  ejected\n"
          "orders   3            36             9        -\n");
}

TEST_CASE("the patch of a diff turns the current document into the wanted one")
{
    json const current = json::parse(R"({"a":{"b":1,"c":2},"d":3,"e":{}})");
    json const wanted =
        json::parse(R"({"a":{"b":1,"c":5},"e":{"f":1},"g":[]})");
    json const patch = make_merge_patch(current, wanted);
    CHECK(patch == json::parse(R"({"a":{"c":5},"d":null,"e":{"f":1},"g":[]})"));
    json result = current;
    result.merge_patch(patch);
    CHECK(result == wanted);
    CHECK(render(verb::config_diff, 200, R"({"a":2})").errors == "version 7\n");
}

TEST_CASE("explain names the host, the body and the daemon that is asked")
{
    options flags;
    flags.host = "shop.example";
    flags.body_bytes = 70;
    CHECK(build_request(parse({"explain", "PUT", "/x", "kim"}), flags, "")
              .target ==
          "/explain?method=PUT&path=%2Fx&account=kim&host=shop.example"
          "&body_bytes=70");
    std::string_view const daemons =
        R"({"daemons":[{"name":"d1","admin":"127.0.0.1:7"},{"name":"d2"}]})";
    CHECK(admin_address_of(daemons, "d1") == "127.0.0.1:7");
    CHECK(admin_address_of(daemons, "d3").empty());
    CHECK(admin_address_of("[]", "d1").empty());
}

TEST_CASE("explain of something unknown has an exit code of its own")
{
    // Guards against scripts that take a wrong key for an unknown path.
    command const explain = parse({"explain", "GET", "/x"});
    std::string const problem = R"({"kind":"no_route","detail":"no route"})";
    auto const unknown =
        render_response(explain, {}, {404, {}, problem}, {}, false);
    CHECK(unknown.code == exit_not_found);
    CHECK(unknown.errors.find("no route") != std::string::npos);
    CHECK(render_response(explain, {}, {401, {}, problem}, {}, false).code ==
          exit_refused);
}
