/// \file
/// \brief Recognizes the head of a response that was cut off and continued by
///        another response.
#ifndef DANDELIONSCALE_SRC_TRANSPORT_SPLICED_HEAD_H_
#define DANDELIONSCALE_SRC_TRANSPORT_SPLICED_HEAD_H_

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace dandelionscale::internal {

/// \returns true if the reason phrase or the value of a field holds the status
///          line of another response. The sender has then stopped in the middle
///          of a head: the fields are those of two responses.
bool IsSplicedHead(std::string_view reason,
                   const boost::beast::http::fields& fields);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TRANSPORT_SPLICED_HEAD_H_
