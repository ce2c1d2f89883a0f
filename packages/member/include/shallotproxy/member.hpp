#pragma once

// Public header of the member library: one member of the system on a platform, from its ports.

#include "member/declarations.hpp"
#include "member/member_runtime.hpp"
#include "member/ports.hpp"
