#ifndef DANDELIONSCALE_SRC_ROUTER_CONTROL_MESSAGES_H_
#define DANDELIONSCALE_SRC_ROUTER_CONTROL_MESSAGES_H_

#include <string_view>

#include "dandelionscale/core/digest_tree.h"
#include "dandelionscale/core/fleet_view.h"
#include "peer.pb.h"

namespace dandelionscale::internal {

/// \brief HTTP/2 paths of streams between routers.
inline constexpr std::string_view kServePath = "/serve";
inline constexpr std::string_view kControlPath = "/control";

/// \returns the members listed in a reply.
Membership MembersFromWire(const wire::ControlReply& reply);
/// \brief Adds the members to a reply.
void MembersToWire(const Membership& membership, wire::ControlReply& reply);

using WireLoads = google::protobuf::RepeatedPtrField<wire::ServiceLoad>;
/// \returns the loads of a message.
ServiceLoads LoadsFromWire(const WireLoads& loads);
/// \brief Adds the loads to a message.
void LoadsToWire(const ServiceLoads& loads, WireLoads& wire_loads);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_ROUTER_CONTROL_MESSAGES_H_
