// The one form in which callers are told that a call did not go well.
#pragma once

#include "anvilscale/net.h"
#include "anvilscale/routing.h"

namespace anvilscale {

HttpReply errorReply(const CallError &error, std::string_view message = {});
HttpReply problemReply(HttpProblem problem);
HttpReply bodyProblemReply(BodyProblem problem);
/// A call that is turned down before it reached the decisions.
HttpReply refusalReply(RefusalReason reason, std::string_view message);
HttpReply jsonReply(std::uint32_t status, std::string body);

} // namespace anvilscale
