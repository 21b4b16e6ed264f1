/** The platform's transactional table service behind one narrow interface, with an HTTP and JSON adapter. */
package io.caperturn.store;
