#pragma once

// Public header of the member library: runs one member of the system on a platform, which it
// reaches only through the interfaces in ports.hpp.

#include "member/declarations.hpp"
#include "member/member_runtime.hpp"
#include "member/ports.hpp"
