/* A preloaded library that makes socket calls fail as Linux documents, one in FAULT_ONE_IN by a generator with the seed
 * FAULT_SEED. FAULT_KIND: `interrupt` (EINTR), `short` (reads and writes of one byte), `abort` (accept fails with
 * ECONNABORTED), `exhaust` (accept fails with ENFILE). CLOCK_STEP_S steps the wall clock by so many seconds once
 * CLOCK_STEP_AFTER_MS have passed since its first reading. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static uint64_t state;

static int draw(const char *kind) {
    const char *wanted = getenv("FAULT_KIND"), *one_in = getenv("FAULT_ONE_IN"), *seed = getenv("FAULT_SEED");
    if (!wanted || !one_in || !seed || strcmp(wanted, kind) != 0) return 0;
    if (state == 0) state = strtoull(seed, NULL, 10) * 2 + 1;
    /* Marsaglia's xorshift64. */
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state % strtoull(one_in, NULL, 10) == 0;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    if (draw("interrupt")) { errno = EINTR; return -1; }
    if (length > 1 && draw("short")) length = 1;
    return REAL(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    if (draw("interrupt")) { errno = EINTR; return -1; }
    if (length > 1 && draw("short")) length = 1;
    return REAL(send)(fd, buffer, length, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    if (draw("interrupt")) { errno = EINTR; return -1; }
    return REAL(sendmsg)(fd, message, flags);
}

ssize_t writev(int fd, const struct iovec *pieces, int count) {
    if (draw("interrupt")) { errno = EINTR; return -1; }
    if (count > 1 && draw("short")) count = 1;
    return REAL(writev)(fd, pieces, count);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (draw("interrupt")) { errno = EINTR; return -1; }
    if (draw("abort")) { errno = ECONNABORTED; return -1; }
    if (draw("exhaust")) { errno = ENFILE; return -1; }
    return REAL(accept4)(fd, address, length, flags);
}

static int64_t monotonic_ms(void) {
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int64_t first_reading_ms;
    int result = (int)syscall(SYS_clock_gettime, clock, time);
    const char *step = getenv("CLOCK_STEP_S"), *after = getenv("CLOCK_STEP_AFTER_MS");
    if (result != 0 || clock != CLOCK_REALTIME || !step || !after) return result;
    if (first_reading_ms == 0) first_reading_ms = monotonic_ms();
    if (monotonic_ms() - first_reading_ms >= atoll(after)) time->tv_sec += atoll(step);
    return result;
}
