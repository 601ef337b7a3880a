// Error replies to callers.
#pragma once

#include "anvilscale/net.h"
#include "anvilscale/routing.h"

namespace anvilscale {

HttpReply errorReply(const CallError &error, std::string_view message = {});
HttpReply httpErrorReply(HttpError httpError);
HttpReply bodyErrorReply(BodyError bodyError);
/// Reply to a call that is refused before it reaches EntryDecisions. An empty message selects the text of the reason.
HttpReply refusalReply(RefusalReason reason, std::string_view message);
HttpReply jsonReply(std::uint32_t status, std::string body);

} // namespace anvilscale
