#pragma once

/// Public header of the connection package: the HTTP server, the HTTP client and connections to
/// targets.

#include "connection/http/http_message.hpp"
#include "connection/http/http_server.hpp"
#include "connection/target/http_client.hpp"
#include "connection/target/target_connection.hpp"
