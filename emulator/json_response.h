#ifndef DANDELIONSCALE_EMULATOR_JSON_RESPONSE_H_
#define DANDELIONSCALE_EMULATOR_JSON_RESPONSE_H_

#include <string>
#include <utility>

#include "dandelionscale/transport/http_types.h"

namespace dandelionscale::emulator {

/// \returns a response with a JSON body.
inline HttpResponse MakeJsonResponse(unsigned status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_JSON_RESPONSE_H_
