/** JSON forms of stored rows and of messages to the store; not part of the module's API. */
package io.caperturn.store.internal;
