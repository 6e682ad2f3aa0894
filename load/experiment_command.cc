#include "load/commands.h"
namespace dandelionscale::load {
int RunExperiment(const Settings&) { return 2; }
}  // namespace dandelionscale::load
