#include "path.hpp"

#include <algorithm>

namespace gooseberrycove::peer
{

path_step on_outgoing_work(path& of, std::uint64_t next_number, time_point now)
{
    if (of.proven != time_point{} && now - of.proven <= proof_age)
        return path_step::send;
    if (of.check == 0)
    {
        of.check = next_number;
        of.asked = now;
        return path_step::check;
    }
    if (now - of.asked >= silence_limit)
        return path_step::reconnect;
    return is_late(of, now) ? path_step::give_back : path_step::wait;
}

void on_check_answer(path& of, std::uint64_t number)
{
    if (number != of.check)
        return;
    of.check = 0;
    on_proof(of, of.asked);
}

void on_proof(path& of, time_point sent)
{
    of.proven = std::max(of.proven, sent);
}

bool is_late(path const& of, time_point now)
{
    return of.check != 0 && now - of.asked >= check_limit;
}

} // namespace gooseberrycove::peer
