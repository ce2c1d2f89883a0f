# Compiler flags of all targets.
add_library(shallotproxy_flags INTERFACE)
target_compile_options(shallotproxy_flags INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wsign-conversion -Wold-style-cast
  -Wnon-virtual-dtor -Woverloaded-virtual -Wduplicated-cond -Wlogical-op)
# g++ 12 reports moved variants and expected values as uninitialized at -O2 (GCC bug 105562 and
# related ones).
target_compile_options(shallotproxy_flags INTERFACE -Wno-maybe-uninitialized)
if(SHALLOTPROXY_WERROR)
  target_compile_options(shallotproxy_flags INTERFACE -Werror)
endif()
if(SHALLOTPROXY_SANITIZE)
  target_compile_options(shallotproxy_flags INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
  target_link_options(shallotproxy_flags INTERFACE -fsanitize=address,undefined)
endif()
target_compile_definitions(shallotproxy_flags INTERFACE MSGPACK_NO_BOOST QT_NO_CAST_FROM_ASCII QT_NO_KEYWORDS)

set(SHALLOTPROXY_PRECOMPILED
  <functional> <map> <memory> <optional> <string> <variant> <vector>
  <QObject> <QString> <QJsonObject> <QTcpSocket>
  <fmt/format.h> <msgpack.hpp> <tl/expected.hpp>)

# shallotproxy_package(<name> DEPENDS <targets>): adds the static library of a package, which is
# named after the lifetime of its objects and has one public header. Every .cpp below src/ belongs
# to it.
function(shallotproxy_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  file(GLOB_RECURSE headers CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/include/*.hpp)
  add_library(shallotproxy_${name} STATIC ${sources} ${headers})
  add_library(shallotproxy::${name} ALIAS shallotproxy_${name})
  target_include_directories(shallotproxy_${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>)
  target_link_libraries(shallotproxy_${name} PUBLIC ${ARG_DEPENDS} PRIVATE shallotproxy_flags)
  set_target_properties(shallotproxy_${name} PROPERTIES AUTOMOC OFF)
  target_precompile_headers(shallotproxy_${name} PRIVATE ${SHALLOTPROXY_PRECOMPILED})
endfunction()

# shallotproxy_program(<target> <binary name> SOURCES <files> DEPENDS <targets>): adds a program.
function(shallotproxy_program target output)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${target} ${ARG_SOURCES})
  set_target_properties(${target} PROPERTIES OUTPUT_NAME ${output} AUTOMOC OFF)
  target_link_libraries(${target} PRIVATE ${ARG_DEPENDS} shallotproxy_flags)
  target_precompile_headers(${target} PRIVATE ${SHALLOTPROXY_PRECOMPILED})
endfunction()
