// A client asks with HEAD on a kept connection while the backends of the
// service are down, and then sends a GET on the same connection.
#include "standin.hpp"

using namespace standin;

int main(int argc, char** argv)
{
    setup test(argc, argv);
    int const store_port = free_port();
    row_store store(store_port);
    store.put("op", "config",
              config(1,
                     {{"r-view", route("/view/", "safe", "catalogue")},
                      {"r-art", route("/art/", "safe", "proofs")}},
                     {"catalogue", "proofs"})
                  .dump());

    std::vector<proxy_daemon> daemons(4);
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        daemons[i].name = "sidecar-a-" + std::to_string(i);
        daemons[i].zone = "a";
        daemons[i].service = i < 2 ? "catalogue" : "proofs";
        daemons[i].store_port = store_port;
        daemons[i].assign();
        daemons[i].start(test.root, test.run);
    }
    for (proxy_daemon const& item : daemons)
        if (!item.wait_ready(15))
            test.finish(2, "a daemon is not ready");
    std::vector<std::unique_ptr<backend>> backends;
    for (std::size_t i = 0; i < daemons.size(); ++i)
    {
        backends.push_back(std::make_unique<backend>(
            "i-" + std::to_string(i), daemons[i].service, "a",
            daemons[i].control,
            [](message const& request, backend& self)
            {
                record.line(self.id() + " runs " + request.word(0) + " " +
                            request.header("X-Request-Id"));
                return self.answer(request, 200, "a whole page");
            }));
        backends.back()->start_beats();
    }
    sleep_s(5);
    if (test.has_trouble)
    {
        record.line("the servers of proofs crash");
        backends[2]->crash();
        backends[3]->crash();
        sleep_s(1);
    }

    int wrong = 0;
    int asked = 0;
    for (int i = 0; i < 10; ++i)
    {
        std::string const id = std::to_string(i);
        int const fd =
            connect_to(daemons[static_cast<std::size_t>(i) % 2].outbound);
        reader in(fd);
        message reply;
        send_all(fd, make_request({"HEAD", "/art/x", "shop.example",
                                   "head-" + id}));
        bool const is_ok = in.read(reply, 5, true, false);
        record.line("head-" + id + " is answered " +
                    (is_ok ? reply.first : std::string("not")) +
                    ", Content-Length " + reply.header("Content-Length") +
                    ", Connection " + reply.header("Connection"));
        if (is_ok && reply.header("Connection") != "close")
        {
            ++asked;
            send_all(fd, make_request({"GET", "/view/x", "shop.example",
                                       "get-" + id}));
            bool const is_answer = in.read(reply, 5, true);
            wrong += !is_answer && in.is_garbage ? 1 : 0;
            record.line("get-" + id + " on the same connection: " +
                        reply.first);
        }
        ::close(fd);
    }
    std::string const counts = std::to_string(wrong) + " of " +
                               std::to_string(asked) +
                               " connections gave bytes that are no answer";
    if (wrong > 0)
        test.finish(1, "MIXED broken: " + counts);
    test.finish(asked > 0 ? 0 : 2, "MIXED held: " + counts);
}
