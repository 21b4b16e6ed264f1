/** Client interface of the platform's transactional table service, with an implementation over HTTP and JSON. */
package io.caperturn.store;
