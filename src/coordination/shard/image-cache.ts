/** @file The owner's estimate of which images a machine has cached. */

/** The most images of which a machine's cache is modelled: images may have no size, so that any number would fit. */
const MAX_IMAGES = 100;

/** Models the image cache of a worker: LRU eviction, with the cache size of the machine's type. */
export class ImageCache {
  readonly #sizesGb = new Map<string, number>();

  constructor(private readonly capacityGb: number) {}

  /** Image sizes by image, least recently used first. */
  get sizesGb(): ReadonlyMap<string, number> {
    return this.#sizesGb;
  }

  /** Marks the image as most recently used, and evicts others that no longer fit. */
  touch(image: string, imageGb: number): void {
    this.#sizesGb.delete(image);
    this.#sizesGb.set(image, imageGb);
    let total = 0;
    for (const size of this.#sizesGb.values()) total += size;
    for (const [oldest, size] of this.#sizesGb) {
      const fits = total <= this.capacityGb && this.#sizesGb.size <= MAX_IMAGES;
      if (fits || oldest === image) break;
      this.#sizesGb.delete(oldest);
      total -= size;
    }
  }

  /** Empties the cache: the worker has begun a new incarnation, with an empty cache. */
  clear(): void {
    this.#sizesGb.clear();
  }
}
