// Compiles the implementation of Boost.JSON, once for the whole program.
#include <boost/json/src.hpp>
