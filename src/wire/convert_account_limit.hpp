#ifndef GOOSEBERRYCOVE_WIRE_CONVERT_ACCOUNT_LIMIT_HPP
#define GOOSEBERRYCOVE_WIRE_CONVERT_ACCOUNT_LIMIT_HPP

#include "peer_types.h"
#include <gooseberrycove/account_limit.hpp>

namespace gooseberrycove::wire
{

gen::AccountReport to_gen(account_limit::report const& value);
gen::AccountGrant to_gen(account_limit::grant const& value);
account_limit::report from_gen(gen::AccountReport const& in);
account_limit::grant from_gen(gen::AccountGrant const& in);

} // namespace gooseberrycove::wire

#endif
