#include "router/control_messages.h"

namespace dandelionscale::internal {

Membership MembersFromWire(const wire::ControlReply& reply) {
  Membership membership;
  membership.revision = reply.membership_revision();
  for (const wire::MemberEntry& entry : reply.members()) {
    membership.members.push_back({entry.name(), entry.availability_zone(),
                                  entry.peer_address(), entry.incarnation(),
                                  entry.draining()});
  }
  return membership;
}

void MembersToWire(const Membership& membership, wire::ControlReply& reply) {
  for (const Member& member : membership.members) {
    wire::MemberEntry* entry = reply.add_members();
    entry->set_name(member.name);
    entry->set_availability_zone(member.availability_zone);
    entry->set_peer_address(member.peer_address);
    entry->set_incarnation(member.incarnation);
    entry->set_draining(member.draining);
  }
}

ServiceLoads LoadsFromWire(const WireLoads& loads) {
  ServiceLoads result;
  for (const wire::ServiceLoad& load : loads) {
    result.push_back({load.service_hash(), {load.in_flight(), load.engines()}});
  }
  return result;
}

void LoadsToWire(const ServiceLoads& loads, WireLoads& wire_loads) {
  for (const ServiceLoadEntry& entry : loads) {
    wire::ServiceLoad* load = wire_loads.Add();
    load->set_service_hash(entry.service_hash);
    load->set_in_flight(entry.load.in_flight);
    load->set_engines(entry.load.engines);
  }
}

}  // namespace dandelionscale::internal
